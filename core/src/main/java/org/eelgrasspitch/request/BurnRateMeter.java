package org.eelgrasspitch.request;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.eelgrasspitch.text.RouteKey;

/**
 * Counts good and bad requests of each operation over the last hour, so that the use of
 * the error budget can be told over a short and a long window.
 * <p>
 * Counts are kept in buckets of {@link #BUCKET_MILLIS}, in a ring that covers
 * {@link #LONG_WINDOW_MILLIS}; a bucket is cleared when its time comes round again.
 * Memory is bounded by the number of operations in the text.
 * <p>
 * The burn rate is the share of bad requests divided by the share that the objective
 * permits. At 1 the budget lasts exactly as long as the objective's period; at 10 it is
 * gone in a tenth of it. Worked case: objective 999 of 1000, 2 bad of 1000 requests: the
 * burn rate is 0.002 / 0.001 = 2.
 * <p>
 * Not thread-safe; the user provides the lock.
 */
public final class BurnRateMeter {

	/** Length of a bucket, in milliseconds. */
	public static final long BUCKET_MILLIS = 10_000;

	/** Length of the short window, in milliseconds. */
	public static final long SHORT_WINDOW_MILLIS = 300_000;

	/** Length of the long window, in milliseconds. */
	public static final long LONG_WINDOW_MILLIS = 3_600_000;

	private static final int BUCKET_COUNT = (int) (LONG_WINDOW_MILLIS / BUCKET_MILLIS);

	private static final int PER_MILLE = 1_000;

	private final Map<RouteKey, BucketRing> rings = new HashMap<>();

	/**
	 * Counts a request.
	 * @param route its operation
	 * @param good true when it was answered well and in time
	 * @param now current monotonic time in milliseconds
	 */
	public void record(RouteKey route, boolean good, long now) {
		this.rings.computeIfAbsent(route, (key) -> new BucketRing()).record(good, now / BUCKET_MILLIS);
	}

	/**
	 * Returns the operations that had requests.
	 * @return their routes
	 */
	public Set<RouteKey> routes() {
		return Set.copyOf(this.rings.keySet());
	}

	/**
	 * Adds up the requests of one operation.
	 * @param route the operation
	 * @param windowMillis length of the window that ends now, at most
	 * {@link #LONG_WINDOW_MILLIS}
	 * @param now current monotonic time in milliseconds
	 * @return the counts
	 */
	public Counts counts(RouteKey route, long windowMillis, long now) {
		BucketRing ring = this.rings.get(route);
		return (ring != null) ? ring.sum(now / BUCKET_MILLIS, (int) (windowMillis / BUCKET_MILLIS)) : new Counts(0, 0);
	}

	/**
	 * Good and bad requests.
	 *
	 * @param good requests answered well and in time
	 * @param bad all others
	 */
	public record Counts(long good, long bad) {

		/**
		 * Adds other counts.
		 * @param other the other counts
		 * @return the sum
		 */
		public Counts plus(Counts other) {
			return new Counts(this.good + other.good, this.bad + other.bad);
		}

		/**
		 * Computes the burn rate.
		 * @param objectivePerMille share that must be good, in thousandths
		 * @return the burn rate; 0 without requests
		 */
		public double burnRate(int objectivePerMille) {
			long total = this.good + this.bad;
			double permitted = (double) (PER_MILLE - objectivePerMille) / PER_MILLE;
			return (total == 0) ? 0 : this.bad / (double) total / permitted;
		}

	}

	/**
	 * Buckets of one operation.
	 */
	private static final class BucketRing {

		/** Number of the time slice that each bucket holds; -1 when none. */
		private final long[] slices = new long[BUCKET_COUNT];

		private final int[] good = new int[BUCKET_COUNT];

		private final int[] bad = new int[BUCKET_COUNT];

		BucketRing() {
			Arrays.fill(this.slices, -1);
		}

		void record(boolean isGood, long slice) {
			int index = (int) (slice % BUCKET_COUNT);
			if (this.slices[index] != slice) {
				this.slices[index] = slice;
				this.good[index] = 0;
				this.bad[index] = 0;
			}
			if (isGood) {
				this.good[index]++;
				return;
			}
			this.bad[index]++;
		}

		Counts sum(long latestSlice, int sliceCount) {
			long goodSum = 0;
			long badSum = 0;
			for (int index = 0; index < BUCKET_COUNT; index++) {
				long slice = this.slices[index];
				if (slice >= 0 && slice <= latestSlice && slice > latestSlice - sliceCount) {
					goodSum += this.good[index];
					badSum += this.bad[index];
				}
			}
			return new Counts(goodSum, badSum);
		}

	}

}
