package org.eelgrasspitch.mesh;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns, by route, how often callers send further requests behind one that is in
 * progress, on the same connection, and how soon these want their answers.
 * <p>
 * Answers leave in the order of the requests, so a request whose own callers are patient
 * delays those behind it. It is therefore placed by the shorter objective of its usual
 * followers. Its own objective decides all the rest, such as its order in a queue.
 * <p>
 * Load pattern answered: callers send short lookups behind long reads. Placed by its own
 * objective of 2,500 ms, a read of 1,200 ms at a slow target of the own failure domain is
 * good enough, and every lookup behind it, with an objective of 600 ms, is late.
 */
public final class PipelineObjectives {

	/** Weight of a new request; the last ten or so count. */
	private static final double SMOOTHING_FACTOR = 0.1;

	/** Share of requests with followers from which the followers count. */
	private static final double MIN_FOLLOWED_SHARE = 0.2;

	/** Most routes remembered; further ones count as never followed. */
	private static final int MAX_ROUTES = 512;

	private final Map<String, PipelineStats> statsByRoute = new HashMap<>();

	/**
	 * Notes a request that has ended without any request behind it.
	 * @param route name of its route
	 */
	public void recordUnfollowed(String route) {
		PipelineStats previous = this.statsByRoute.get(route);
		if (previous != null) {
			this.statsByRoute.put(route, new PipelineStats((1 - SMOOTHING_FACTOR) * previous.followedShare,
					previous.followerObjectiveMillis));
		}
	}

	/**
	 * Notes a request that has ended with others behind it.
	 * @param route name of its route
	 * @param objectiveMillis the shortest objective of those behind it
	 */
	public void recordFollowed(String route, long objectiveMillis) {
		PipelineStats previous = this.statsByRoute.get(route);
		if (previous == null && this.statsByRoute.size() >= MAX_ROUTES) {
			return;
		}
		PipelineStats base = (previous != null) ? previous : new PipelineStats(0, objectiveMillis);
		this.statsByRoute.put(route, new PipelineStats(base.followedShare + SMOOTHING_FACTOR * (1 - base.followedShare),
				base.followerObjectiveMillis + SMOOTHING_FACTOR * (objectiveMillis - base.followerObjectiveMillis)));
	}

	/**
	 * Returns the objective by which a request is placed.
	 * @param route name of its route
	 * @param ownMillis time left until its own answer is late
	 * @return that time, or the objective of its usual followers if that is shorter
	 */
	public long objectiveMillis(String route, long ownMillis) {
		PipelineStats stats = this.statsByRoute.get(route);
		boolean frequent = stats != null && stats.followedShare >= MIN_FOLLOWED_SHARE;
		return frequent ? Math.min(ownMillis, (long) stats.followerObjectiveMillis) : ownMillis;
	}

	/**
	 * What callers of a route usually do.
	 *
	 * @param followedShare smoothed share of requests that had others behind them, 0 to 1
	 * @param followerObjectiveMillis smoothed shortest objective of those
	 */
	private record PipelineStats(double followedShare, double followerObjectiveMillis) {

	}

}
