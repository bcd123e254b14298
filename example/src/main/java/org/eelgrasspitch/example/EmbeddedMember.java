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
 * Embeds a {@link FleetMember} that reads files instead of the platform. A member takes
 * events and returns effects; the embedding program provides time, sockets and threads.
 * This program simulates time with a counter, answers platform calls from the files,
 * keeps the published snapshot and ignores all other effects.
 */
public final class EmbeddedMember {

	private static final long TICK_MILLIS = 100;

	/** Simulated time after which the program gives up. */
	private static final long TIMEOUT_MILLIS = 5_000;

	private final FleetMember member;

	private final byte[] text;

	private final byte[] vms;

	/** Events that the member has not handled yet. */
	private final Deque<FleetEvent> events = new ArrayDeque<>();

	/** The published snapshot; null before the first one. */
	private Snapshot snapshot;

	private EmbeddedMember(Path text, Path vms) throws IOException {
		this.text = Files.readAllBytes(text);
		this.vms = Files.readAllBytes(vms);
		Peer self = new Peer("embedded", "here", new InetSocketAddress("127.0.0.1", 1), 1);
		FleetSettings settings = FleetSettings.of(self, List.of(), Distribution.POLL);
		this.member = new FleetMember(settings, new SplittableRandom(1), 0);
	}

	/**
	 * Prints the routes of a text, one per line.
	 * @param arguments path of the operators' text and path of a VM list
	 * @throws IOException if a file cannot be read
	 */
	public static void main(String[] arguments) throws IOException {
		routes(Path.of(arguments[0]), Path.of(arguments[1])).forEach(System.out::println);
	}

	/**
	 * Passes a text to a member and returns the routes of the resulting snapshot.
	 * @param text path of the operators' text
	 * @param vms path of a VM list
	 * @return service, operation and kind of each route, one line per route in sorted
	 * order; empty if the text was rejected
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
				// A member without peers opens no links. This program does not use VM
				// lists, lifecycle states and log events.
			}
		}
	}

	private FleetEvent platformResponse(FleetEffect.CallPlatform call) {
		// The files have one revision, so a call for a newer one fails.
		if (call.afterRevision() >= 1) {
			return new FleetEvent.PlatformFailed(call.channel(), call.sequence());
		}
		byte[] content = (call.channel() == Channel.TEXT) ? this.text : this.vms;
		return new FleetEvent.PlatformServed(call.channel(), call.sequence(), 1, content);
	}

}
