package org.eelgrasspitch;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.eelgrasspitch.fleet.Distribution;
import org.eelgrasspitch.fleet.FleetEffect;
import org.eelgrasspitch.fleet.FleetEvent;
import org.eelgrasspitch.fleet.FleetMember;
import org.eelgrasspitch.fleet.FleetSettings;
import org.eelgrasspitch.fleet.Peer;
import org.eelgrasspitch.fleet.PeerMessage;
import org.eelgrasspitch.text.Channel;
import org.eelgrasspitch.text.Document;
import org.eelgrasspitch.text.DocumentParser;
import org.eelgrasspitch.text.Version;

/**
 * Runs a script of timed events against one {@link FleetMember} and returns the script
 * lines interleaved with the relevant effects: published texts, lifecycle states, pulls,
 * closed links, and the log events that {@code logEvent} selects, as {@code note KIND}.
 * The first line is {@code seeds NAME...}; {@code nogate} before it sets the start
 * timeout to 0, and {@code nopause} disables pause detection. Every other line starts
 * with {@code at MILLIS}; until that time the member receives a tick every 100 ms, unless
 * the line says {@code paused}.
 * <p>
 * Commands: {@code link NAME} opens an outbound link to a peer (a seed);
 * {@code status NAME REVISION AGE} delivers a peer's status with the nonce of the latest
 * query; {@code heartbeat NAME REVISION AGE} delivers one without nonce;
 * {@code serves REVISION} answers the latest platform call for the text;
 * {@code bad REVISION} answers it with an invalid text; {@code unchanged REVISION}
 * answers that there is nothing newer; {@code parts NAME REVISION} answers a pull;
 * {@code damaged NAME REVISION} answers it with the first part missing; {@code tick} and
 * {@code paused} deliver a tick. {@code AGE} is the age of the evidence in milliseconds,
 * negative for none; in a status or heartbeat, {@code REVISION} 0 stands for no text.
 */
final class FleetScript {

	private static final long TICK_MILLIS = 100;

	private final Peer self = peer("self", 1);

	private final FleetMember member;

	private final Map<String, Long> links = new HashMap<>();

	/** Latest sequence number of a platform call for the text; 0 before the first. */
	private long textCallSequence;

	private long lastQueryNonce;

	private long now;

	private final List<String> output = new ArrayList<>();

	private FleetScript(String header) {
		String seeds = header.substring(header.indexOf("seeds") + "seeds".length()).strip();
		List<InetSocketAddress> addresses = Arrays.stream(seeds.split(" "))
			.map((name) -> peer(name, 2).address())
			.toList();
		FleetSettings settings = FleetSettings.of(this.self, addresses, Distribution.DELTAS);
		settings = header.startsWith("nogate") ? settings.withStartMillis(0) : settings;
		settings = header.startsWith("nopause") ? settings.withPauseMillis(Long.MAX_VALUE) : settings;
		this.member = new FleetMember(settings, new SplittableRandom(7), 0);
	}

	static String run(String text) {
		List<String> lines = text.strip().lines().toList();
		FleetScript script = new FleetScript(lines.get(0));
		lines.stream().skip(1).forEach(script::runLine);
		return String.join("\n", script.output);
	}

	private void runLine(String line) {
		String[] words = line.split(" ");
		long time = Long.parseLong(words[1]);
		boolean paused = words[2].equals("paused");
		while (!paused && this.now + TICK_MILLIS < time) {
			this.now += TICK_MILLIS;
			handle(new FleetEvent.Ticked());
		}
		this.now = time;
		this.output.add(line);
		execute(words);
	}

	private void execute(String[] words) {
		switch (words[2]) {
			case "link" -> {
				this.links.put(words[3], this.links.size() + 1L);
				Peer peer = peer(words[3], 2);
				handle(new FleetEvent.LinkOpened(this.links.get(words[3]), peer, true, peer.address()));
			}
			case "status" -> receive(words[3], status(words, this.lastQueryNonce));
			case "heartbeat" -> receive(words[3], status(words, 0));
			case "serves" -> handle(new FleetEvent.PlatformServed(Channel.TEXT, this.textCallSequence,
					Long.parseLong(words[3]), text(Long.parseLong(words[3]))));
			case "bad" -> handle(new FleetEvent.PlatformServed(Channel.TEXT, this.textCallSequence,
					Long.parseLong(words[3]), "{".getBytes(StandardCharsets.UTF_8)));
			case "unchanged" ->
				handle(new FleetEvent.PlatformUnchanged(Channel.TEXT, this.textCallSequence, Long.parseLong(words[3])));
			case "parts" -> receive(words[3], parts(Long.parseLong(words[4]), 0));
			case "damaged" -> receive(words[3], parts(Long.parseLong(words[4]), 1));
			case "tick", "paused" -> handle(new FleetEvent.Ticked());
			default -> throw new IllegalArgumentException(words[2]);
		}
	}

	private void receive(String name, PeerMessage message) {
		handle(new FleetEvent.Received(this.links.get(name), message));
	}

	private void handle(FleetEvent event) {
		for (FleetEffect effect : this.member.handle(event, this.now)) {
			switch (effect) {
				case FleetEffect.PublishText text -> this.output.add("  text " + text.snapshot().version().revision());
				case FleetEffect.LifecycleChanged changed ->
					this.output.add("  " + changed.state().toString().toLowerCase());
				case FleetEffect.LogEvent logged -> logEvent(logged);
				case FleetEffect.CallPlatform call when call.channel() == Channel.TEXT ->
					this.textCallSequence = call.sequence();
				case FleetEffect.Send send when send.message() instanceof PeerMessage.Query query ->
					this.lastQueryNonce = query.nonce();
				case FleetEffect.Send send when send.message() instanceof PeerMessage.Pull pull ->
					this.output.add("  pull " + pull.channel() + " from " + name(send.link()));
				case FleetEffect.CloseLink close -> this.output.add("  close " + name(close.link()));
				default -> {
					// The descriptors do not check the other effects.
				}
			}
		}
	}

	private void logEvent(FleetEffect.LogEvent event) {
		switch (event.kind()) {
			case PLATFORM_STALE, PARTS_DAMAGED, VERSION_REJECTED, REVISION_CONFLICT, PAUSED ->
				this.output.add("  note " + event.kind().toString().toLowerCase());
			default -> {
				// The descriptors do not check the other kinds.
			}
		}
	}

	private String name(long link) {
		return this.links.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() == link)
			.map(Map.Entry::getKey)
			.findFirst()
			.orElse("?");
	}

	private static PeerMessage.Status status(String[] words, long nonce) {
		long revision = Long.parseLong(words[4]);
		Optional<Version> version = (revision == 0) ? Optional.empty() : Optional.of(document(revision).version());
		return new PeerMessage.Status(version, Optional.empty(), Long.parseLong(words[5]), 0, false, nonce);
	}

	private static PeerMessage.Parts parts(long revision, int omittedParts) {
		Document document = document(revision);
		return new PeerMessage.Parts(Channel.TEXT, Optional.of(document.version()), document.parts()
			.stream().<PeerMessage
					.ManifestEntry>map((part) -> new PeerMessage.ManifestEntry.Named(part.name(), part.digest()))
			.toList(), document.parts().subList(omittedParts, document.parts().size()), List.of());
	}

	private static Document document(long revision) {
		return DocumentParser.parseText(revision, text(revision)).get().document();
	}

	private static byte[] text(long revision) {
		return ("{\"mesh\": \"m\", \"failureDomains\": [\"a\"], \"services\": [{\"name\": \"s\", \"slots\": " + revision
				+ ", \"connections\": 1, \"operations\": [{\"name\": \"r\", \"kind\": \"idempotent\", "
				+ "\"deadlineMillis\": 9}]}]}")
			.getBytes(StandardCharsets.UTF_8);
	}

	private static Peer peer(String name, int port) {
		return new Peer(name, "a", InetSocketAddress.createUnresolved(name, port), 1);
	}

}
