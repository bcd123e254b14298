package org.eelgrasspitch.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * A node that is behind and hears the heartbeats of 18 near and 32 far peers, each of
 * which holds a newer document.
 */
public class PullScheduleTests {

	private static final int NEAR_PEERS = 18;

	private static final int FAR_PEERS = 32;

	private static final long HEARTBEAT_INTERVAL_MILLIS = 500;

	private static final long NEVER = Long.MAX_VALUE;

	@Test
	public void documentThatIsLongOnItsWayIsNotPulledByEveryHeartbeat() {
		long transferMillis = 2_900;
		List<Long> pulls = pulls(transferMillis, NEVER);
		Assert.assertTrue(pulls.size() <= Math.ceilDiv(transferMillis, PullSchedule.TIMEOUT_MILLIS),
				"pulls at " + pulls);
	}

	@Test
	public void firstPullGoesToANearPeer() {
		Assert.assertEquals(pulls(1_000, NEVER), List.of(PullSchedule.NEAR_DELAY_MILLIS));
	}

	@Test
	public void deltaThatArrivesInTimeMakesThePullNeedless() {
		Assert.assertEquals(pulls(700, 150), List.of());
	}

	@Test
	public void unansweredPullIsFollowedByAnother() {
		Assert.assertTrue(pulls(5_000, NEVER).size() >= 2);
	}

	@Test
	public void answeredPullMayBeFollowedByAnotherAtOnce() {
		PullSchedule schedule = new PullSchedule();
		schedule.schedule(true, 1_000);
		Assert.assertTrue(schedule.start(true, true, 0, 1_400));
		schedule.deltaReceived();
		schedule.schedule(true, 1_500);
		Assert.assertTrue(schedule.start(true, true, 1_450, 1_900));
	}

	@Test
	public void nothingIsSentOnAClosedLink() {
		PullSchedule schedule = new PullSchedule();
		schedule.schedule(false, 1_000);
		Assert.assertFalse(schedule.start(false, false, 0, 1_800));
		Assert.assertTrue(schedule.schedule(false, 1_900).isPresent());
	}

	/**
	 * Replays heartbeats for a time and returns when pulls were sent.
	 * @param millis the time
	 * @param deltaAtMillis when a delta arrives that leaves this node behind
	 */
	private static List<Long> pulls(long millis, long deltaAtMillis) {
		PullSchedule schedule = new PullSchedule();
		TreeMap<Long, List<Boolean>> due = new TreeMap<>();
		List<Long> pulls = new ArrayList<>();
		for (long now = 0; now < millis; now++) {
			long lastDeltaAtMillis = (now >= deltaAtMillis) ? deltaAtMillis : -1;
			for (int peer = 0; peer < NEAR_PEERS + FAR_PEERS; peer++) {
				boolean near = peer < NEAR_PEERS;
				if ((now + peer * 10) % HEARTBEAT_INTERVAL_MILLIS == 0) {
					long at = now;
					schedule.schedule(near, now)
						.ifPresent((delay) -> due.computeIfAbsent(at + delay, (time) -> new ArrayList<>()).add(near));
				}
			}
			for (boolean near : due.getOrDefault(now, List.of())) {
				if (schedule.start(near, true, lastDeltaAtMillis, now)) {
					pulls.add(now);
				}
			}
		}
		return pulls;
	}

}
