package org.eelgrasspitch;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

import org.eelgrasspitch.fleet.Distribution;
import org.eelgrasspitch.fleet.FleetEffect;
import org.eelgrasspitch.fleet.FleetEvent;
import org.eelgrasspitch.fleet.FleetMember;
import org.eelgrasspitch.fleet.FleetSettings;
import org.eelgrasspitch.fleet.Peer;
import org.eelgrasspitch.fleet.PeerMessage;
import org.eelgrasspitch.text.Channel;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Replicates a randomly changing configuration text (fixed seed) from a reader, which
 * polls the platform, to a follower, which is connected only to the reader and misses up
 * to five consecutive versions. After each exchange the follower must hold the same text
 * as the reader, whether it received deltas, whole parts, or had to send the digests of
 * its parts because the reader did not know its base.
 */
public class DeltaDistributionTests {

	private static final long SEED = 20_261_203;

	private static final int VERSION_COUNT = 400;

	private static final long STEP_MILLIS = 500;

	/** Exclusive upper bound of the number of consecutive versions that are missed. */
	private static final int MISSED_VERSIONS_BOUND = 6;

	/** Lists only the first member, so that the second never becomes a reader. */
	private static final String VMS = """
			{"vms": [{"name": "vm-0", "failureDomain": "a", "service": "s", "address": "127.0.0.1:1",
			 "state": "live"}]}""";

	private final SplittableRandom random = new SplittableRandom(SEED);

	/** Slots of each service in the current text. */
	private final List<Integer> slots = new ArrayList<>(List.of(1, 2, 3, 4, 5, 6, 7, 8));

	/** Messages in flight to each member. */
	private final List<Deque<PeerMessage>> inboxes = List.of(new ArrayDeque<>(), new ArrayDeque<>());

	private final List<FleetMember> members = List.of(member(0), member(1));

	private long revision;

	private long now;

	private int deltaMessages;

	private int unknownBaseReplies;

	@Test
	public void followerHoldsTheSameTextAsTheReader() {
		openLink(0, false);
		openLink(1, true);
		int missedVersionsLeft = 0;
		for (int version = 0; version < VERSION_COUNT; version++) {
			this.now += STEP_MILLIS;
			changeText();
			missedVersionsLeft = (missedVersionsLeft > 0) ? missedVersionsLeft - 1
					: Math.max(0, this.random.nextInt(3 * MISSED_VERSIONS_BOUND) - 2 * MISSED_VERSIONS_BOUND);
			runVersion(missedVersionsLeft == 0);
			if (missedVersionsLeft == 0) {
				Assert.assertEquals(this.members.get(1).view(this.now).text(),
						this.members.get(0).view(this.now).text());
			}
		}
		Assert.assertTrue(this.deltaMessages > 0, "at least one delta was sent");
		Assert.assertTrue(this.unknownBaseReplies > 0, "at least one base was unknown");
	}

	private void changeText() {
		this.revision++;
		switch (this.random.nextInt(4)) {
			case 0 -> this.slots.add(this.random.nextInt(this.slots.size()), 1);
			case 1 -> this.slots.remove(this.random.nextInt(this.slots.size() - 1));
			default -> this.slots.set(this.random.nextInt(this.slots.size()), 1 + this.random.nextInt(9_000));
		}
		if (this.slots.size() < 4) {
			this.slots.addAll(List.of(1, 2, 3, 4));
		}
	}

	private void runVersion(boolean connected) {
		handle(0, new FleetEvent.Ticked());
		if (!connected) {
			return;
		}
		for (int round = 0; round < 2; round++) {
			this.now += STEP_MILLIS;
			handle(0, new FleetEvent.Ticked());
			handle(1, new FleetEvent.Ticked());
			deliver();
		}
	}

	private void deliver() {
		while (this.inboxes.stream().anyMatch((inbox) -> !inbox.isEmpty())) {
			for (int index = 0; index < 2; index++) {
				while (!this.inboxes.get(index).isEmpty()) {
					handle(index, new FleetEvent.Received(1, this.inboxes.get(index).remove()));
				}
			}
		}
	}

	private void openLink(int index, boolean outbound) {
		Peer other = peer(1 - index);
		handle(index, new FleetEvent.LinkOpened(1, other, outbound, outbound ? other.address() : null));
	}

	private void handle(int index, FleetEvent event) {
		for (FleetEffect effect : this.members.get(index).handle(event, this.now)) {
			if (effect instanceof FleetEffect.Send send && send.link() == 1) {
				count(send.message());
				this.inboxes.get(1 - index).add(send.message());
			}
			if (effect instanceof FleetEffect.CallPlatform call) {
				handle(index, platformResponse(index, call));
			}
		}
	}

	private void count(PeerMessage message) {
		if (message instanceof PeerMessage.Parts parts && !parts.deltas().isEmpty()) {
			this.deltaMessages++;
		}
		if (message instanceof PeerMessage.BaseUnknown) {
			this.unknownBaseReplies++;
		}
	}

	private FleetEvent platformResponse(int index, FleetEffect.CallPlatform call) {
		if (index == 1) {
			return new FleetEvent.PlatformFailed(call.channel(), call.sequence());
		}
		long latest = (call.channel() == Channel.TEXT) ? this.revision : 1;
		if (call.afterRevision() >= latest) {
			return new FleetEvent.PlatformUnchanged(call.channel(), call.sequence(), latest);
		}
		byte[] content = (call.channel() == Channel.TEXT) ? text() : VMS.getBytes(StandardCharsets.UTF_8);
		return new FleetEvent.PlatformServed(call.channel(), call.sequence(), latest, content);
	}

	private byte[] text() {
		List<String> services = new ArrayList<>();
		for (int index = 0; index < this.slots.size(); index++) {
			services.add(("{\"name\": \"service-%d\", \"slots\": %d, \"connections\": 100, \"operations\": [{\"name\": "
					+ "\"read-with-a-long-name\", \"kind\": \"idempotent\", \"deadlineMillis\": 99}]}")
				.formatted(index, this.slots.get(index)));
		}
		return ("{\"mesh\": \"m\", \"failureDomains\": [\"a\"], \"services\": [" + String.join(",", services) + "]}")
			.getBytes(StandardCharsets.UTF_8);
	}

	private FleetMember member(int index) {
		List<InetSocketAddress> seeds = (index == 0) ? List.of() : List.of(peer(0).address());
		Distribution distribution = Distribution.DELTAS;
		FleetSettings settings = FleetSettings.of(peer(index), seeds, distribution).withPauseMillis(Long.MAX_VALUE);
		return new FleetMember(settings, new SplittableRandom(SEED + index), 0);
	}

	private static Peer peer(int index) {
		return new Peer("vm-" + index, "a", new InetSocketAddress("127.0.0.1", 1 + index), 1);
	}

}
