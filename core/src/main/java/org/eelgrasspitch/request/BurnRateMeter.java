package org.eelgrasspitch.request;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.eelgrasspitch.text.RouteKey;

/**
 * Counts good and bad requests per operation over a sliding hour, from which the burn
 * rate of the error budget is computed over a short and a long window.
 * <p>
 * Counts are kept in a ring of buckets of {@link #BUCKET_MILLIS} each that covers
 * {@link #LONG_WINDOW_MILLIS}. A bucket is reset when it is reused for a later time
 * slice. Memory use is bounded by the number of distinct operations counted since the
 * meter was created; operations removed from the text stay.
 * <p>
 * The burn rate is the share of bad requests divided by the share that the objective
 * allows. At a burn rate of 1 the error budget lasts exactly for the period of the
 * objective; at 10 it is exhausted after a tenth of it. Example: with an objective of 999
 * per mille and 2 bad requests out of 1000, the burn rate is 0.002 / 0.001 = 2.
 * <p>
 * Not thread-safe; callers must synchronize.
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
	 * Counts a finished request.
	 * @param route its operation
	 * @param good true if the request was answered successfully and in time
	 * @param now current monotonic time in milliseconds
	 */
	public void record(RouteKey route, boolean good, long now) {
		this.rings.computeIfAbsent(route, (key) -> new BucketRing()).record(good, now / BUCKET_MILLIS);
	}

	/**
	 * Returns the operations for which requests were counted.
	 * @return an unmodifiable copy of their routes
	 */
	public Set<RouteKey> routes() {
		return Set.copyOf(this.rings.keySet());
	}

	/**
	 * Sums the requests of one operation over a window, at the granularity of a bucket.
	 * @param route the operation
	 * @param windowMillis length of the window that ends now, in milliseconds, at most
	 * {@link #LONG_WINDOW_MILLIS}
	 * @param now current monotonic time in milliseconds
	 * @return the counts; both 0 if the operation had no requests
	 */
	public Counts counts(RouteKey route, long windowMillis, long now) {
		BucketRing ring = this.rings.get(route);
		return (ring != null) ? ring.sum(now / BUCKET_MILLIS, (int) (windowMillis / BUCKET_MILLIS)) : new Counts(0, 0);
	}

	/**
	 * Numbers of good and bad requests.
	 *
	 * @param good requests answered successfully and in time
	 * @param bad all other requests
	 */
	public record Counts(long good, long bad) {

		/**
		 * Adds counts.
		 * @param other the counts to add
		 * @return the sum
		 */
		public Counts plus(Counts other) {
			return new Counts(this.good + other.good, this.bad + other.bad);
		}

		/**
		 * Computes the burn rate.
		 * @param objectivePerMille objective: the share of requests that must be good, in
		 * thousandths; below 1000
		 * @return the burn rate; 0 if there were no requests
		 */
		public double burnRate(int objectivePerMille) {
			long total = this.good + this.bad;
			double permitted = (double) (PER_MILLE - objectivePerMille) / PER_MILLE;
			return (total == 0) ? 0 : this.bad / (double) total / permitted;
		}

	}

	/**
	 * Ring of the buckets of one operation.
	 */
	private static final class BucketRing {

		/** Index of the time slice counted in each bucket; -1 if the bucket is unused. */
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
