package org.eelgrasspitch;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.eelgrasspitch.fleet.Distribution;
import org.eelgrasspitch.fleet.FleetEffect;
import org.eelgrasspitch.fleet.FleetEvent;
import org.eelgrasspitch.fleet.FleetMember;
import org.eelgrasspitch.fleet.FleetSettings;
import org.eelgrasspitch.fleet.LifecycleState;
import org.eelgrasspitch.fleet.Peer;
import org.eelgrasspitch.fleet.PeerMessage;
import org.eelgrasspitch.text.Channel;
import org.eelgrasspitch.text.Document;
import org.eelgrasspitch.text.DocumentParser;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * A starting member whose peer dies after it has sent the text and before it has sent the
 * VM list, while another peer holds the same documents.
 */
public class VmListAfterLostLinkTests {

	private static final long TICK_MILLIS = 100;

	/** Three ticks: the next one finds that the source is gone. */
	private static final long BOUND_MILLIS = 300;

	private static final long DYING = 1;

	private static final long LIVING = 2;

	private static final Document TEXT = DocumentParser
		.parseText(1,
				"""
						{"mesh": "m", "failureDomains": ["a"], "services": [{"name": "s", "slots": 1, "connections": 1,
						 "operations": [{"name": "r", "kind": "idempotent", "deadlineMillis": 9}]}]}"""
					.getBytes(StandardCharsets.UTF_8))
		.get()
		.document();

	private static final Document VMS = DocumentParser.parseVmList(1, """
			{"vms": [{"name": "living", "failureDomain": "a", "service": "s", "address": "127.0.0.1:2",
			 "state": "live"}]}""".getBytes(StandardCharsets.UTF_8)).get().document();

	private final List<String> pulls = new ArrayList<>();

	private final FleetMember member = new FleetMember(FleetSettings.of(peer("self", 9),
			List.of(peer("dying", 1).address(), peer("living", 2).address()), Distribution.DELTAS),
			new SplittableRandom(7), 0);

	private long now;

	private long nonce;

	private LifecycleState state;

	@Test
	public void vmListIsPulledFromAnotherPeerWhenItsSourceIsLost() {
		ticks(100);
		open(DYING, "dying", 1);
		open(LIVING, "living", 2);
		// The start timeout of 1,500 ms opens the start gate without a VM list.
		ticks(1_600);
		status(DYING);
		status(LIVING);
		handle(new FleetEvent.Received(DYING, parts(Channel.TEXT, TEXT)));
		status(LIVING);
		Assert.assertEquals(this.state, LifecycleState.SERVING);
		Assert.assertTrue(this.pulls.contains("VMS 1"), "pulls: " + this.pulls);
		this.now += 8;
		handle(new FleetEvent.LinkClosed(DYING));
		long lostAt = this.now;
		while (!this.pulls.contains("VMS " + LIVING) && this.now - lostAt < 10_000) {
			ticks(TICK_MILLIS);
		}
		Assert.assertTrue(this.now - lostAt <= BOUND_MILLIS, "state " + this.state
				+ ", VM list pulled from another peer " + (this.now - lostAt) + " ms after its source was lost");
	}

	private void open(long link, String name, int port) {
		handle(new FleetEvent.LinkOpened(link, peer(name, port), true, peer(name, port).address()));
	}

	private void status(long link) {
		handle(new FleetEvent.Received(link, new PeerMessage.Status(Optional.of(TEXT.version()),
				Optional.of(VMS.version()), 0, 0, false, this.nonce)));
	}

	private void ticks(long millis) {
		for (long end = this.now + millis; this.now < end;) {
			this.now += TICK_MILLIS;
			handle(new FleetEvent.Ticked());
		}
	}

	private void handle(FleetEvent event) {
		for (FleetEffect effect : this.member.handle(event, this.now)) {
			switch (effect) {
				case FleetEffect.LifecycleChanged changed -> this.state = changed.state();
				case FleetEffect.Send send when send.message() instanceof PeerMessage.Query query ->
					this.nonce = query.nonce();
				case FleetEffect.Send send when send.message() instanceof PeerMessage.Pull pull ->
					this.pulls.add(pull.channel() + " " + send.link());
				default -> {
					// The other effects are not checked.
				}
			}
		}
	}

	private static PeerMessage.Parts parts(Channel channel, Document document) {
		return new PeerMessage.Parts(channel, Optional.of(document.version()), document.parts()
			.stream().<PeerMessage
					.ManifestEntry>map((part) -> new PeerMessage.ManifestEntry.Named(part.name(), part.digest()))
			.toList(), document.parts(), List.of());
	}

	private static Peer peer(String name, int port) {
		return new Peer(name, "a", InetSocketAddress.createUnresolved("127.0.0.1", port), 1);
	}

}
