package org.eelgrasspitch.example;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

import org.eelgrasspitch.fleet.Distribution;
import org.eelgrasspitch.fleet.FleetEffect;
import org.eelgrasspitch.fleet.FleetEvent;
import org.eelgrasspitch.fleet.FleetMember;
import org.eelgrasspitch.fleet.FleetSettings;
import org.eelgrasspitch.fleet.Peer;
import org.eelgrasspitch.text.Channel;
import org.eelgrasspitch.text.Snapshot;

/**
 * Drives a {@link FleetMember} by hand, with a file in the platform's place. A member
 * takes events and returns effects; whoever embeds it provides time, sockets and threads.
 * Here time is a counter and the only effect that is carried out is the call to the
 * platform.
 */
public final class EmbeddedMember {

	private static final long TICK_MILLIS = 100;

	private static final long TIMEOUT_MILLIS = 5_000;

	private final FleetMember member;

	private final byte[] text;

	private final byte[] vms;

	/** Events that effects led to and that were not handled yet. */
	private final Deque<FleetEvent> events = new ArrayDeque<>();

	/** The snapshot in force; null before the first. */
	private Snapshot snapshot;

	private EmbeddedMember(Path text, Path vms) throws IOException {
		this.text = Files.readAllBytes(text);
		this.vms = Files.readAllBytes(vms);
		Peer self = new Peer("embedded", "here", new InetSocketAddress("127.0.0.1", 1), 1);
		FleetSettings settings = FleetSettings.of(self, List.of(), Distribution.POLL);
		this.member = new FleetMember(settings, new SplittableRandom(1), 0);
	}

	/**
	 * Prints the routes of a text.
	 * @param arguments the operators' text and a VM list
	 * @throws IOException if a file cannot be read
	 */
	public static void main(String[] arguments) throws IOException {
		routes(Path.of(arguments[0]), Path.of(arguments[1])).forEach(System.out::println);
	}

	/**
	 * Lets a member take a text and returns its routes.
	 * @param text file of the operators' text
	 * @param vms file of a VM list
	 * @return one line for each route; empty when the text was refused
	 * @throws IOException if a file cannot be read
	 */
	public static List<String> routes(Path text, Path vms) throws IOException {
		EmbeddedMember embedded = new EmbeddedMember(text, vms);
		embedded.run();
		if (embedded.snapshot == null) {
			return List.of();
		}
		return embedded.snapshot.routes()
			.values()
			.stream()
			.map((route) -> route.service().name() + "/" + route.operation().name() + " " + route.operation().kind())
			.sorted()
			.toList();
	}

	private void run() {
		for (long now = 0; now < TIMEOUT_MILLIS && this.snapshot == null; now += TICK_MILLIS) {
			this.events.add(new FleetEvent.Ticked());
			while (!this.events.isEmpty()) {
				this.member.handle(this.events.remove(), now).forEach(this::perform);
			}
		}
	}

	private void perform(FleetEffect effect) {
		switch (effect) {
			case FleetEffect.PublishText publish -> this.snapshot = publish.snapshot();
			case FleetEffect.CallPlatform call -> this.events.add(platformResponse(call));
			default -> {
				// Links, notes and states of life mean nothing to a member without peers.
			}
		}
	}

	private FleetEvent platformResponse(FleetEffect.CallPlatform call) {
		if (call.afterRevision() >= 1) {
			return new FleetEvent.PlatformFailed(call.channel(), call.sequence());
		}
		byte[] content = (call.channel() == Channel.TEXT) ? this.text : this.vms;
		return new FleetEvent.PlatformServed(call.channel(), call.sequence(), 1, content);
	}

}
