package org.eelgrasspitch.mesh;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks, by route, how often callers pipeline further requests behind one in progress on
 * the same connection, and the objectives of these requests.
 * <p>
 * Replies are sent in the order of the requests, so a request with a long objective
 * delays those behind it. It is therefore placed by the objective of the requests that
 * are usually pipelined behind it if that is shorter than its own. Everything else, such
 * as its order in a queue, uses its own objective.
 * <p>
 * Example: callers pipeline short lookups behind long reads. With its own objective of
 * 2,500 ms, a read may be placed on a slow target of the entry node's failure domain that
 * takes 1,200 ms. Every lookup behind it, with an objective of 600 ms, is then late.
 * <p>
 * Not thread-safe; callers must synchronize.
 */
public final class PipelineObjectives {

	/**
	 * Weight of a new request in the moving average; about the last ten requests count.
	 */
	private static final double SMOOTHING_FACTOR = 0.1;

	/**
	 * Minimum share of requests with others pipelined behind them, 0 to 1, from which the
	 * objective of those is used.
	 */
	private static final double MIN_PIPELINED_SHARE = 0.2;

	/**
	 * Maximum number of tracked routes; further routes count as without pipelined
	 * requests.
	 */
	private static final int MAX_ROUTES = 512;

	private final Map<String, PipelineStats> statsByRoute = new HashMap<>();

	/**
	 * Records a request that ended with no request pipelined behind it.
	 * @param route name of the request's route
	 */
	public void recordWithoutPipelined(String route) {
		PipelineStats previous = this.statsByRoute.get(route);
		if (previous != null) {
			this.statsByRoute.put(route, new PipelineStats((1 - SMOOTHING_FACTOR) * previous.pipelinedShare,
					previous.pipelinedObjectiveMillis));
		}
	}

	/**
	 * Records a request that ended with others pipelined behind it.
	 * @param route name of the request's route
	 * @param objectiveMillis the shortest objective of the requests behind it, in
	 * milliseconds
	 */
	public void recordWithPipelined(String route, long objectiveMillis) {
		PipelineStats previous = this.statsByRoute.get(route);
		if (previous == null && this.statsByRoute.size() >= MAX_ROUTES) {
			return;
		}
		PipelineStats base = (previous != null) ? previous : new PipelineStats(0, objectiveMillis);
		this.statsByRoute.put(route, new PipelineStats(
				base.pipelinedShare + SMOOTHING_FACTOR * (1 - base.pipelinedShare),
				base.pipelinedObjectiveMillis + SMOOTHING_FACTOR * (objectiveMillis - base.pipelinedObjectiveMillis)));
	}

	/**
	 * Returns the objective to use for the placement of a request.
	 * @param route name of the request's route
	 * @param ownMillis time left until its own objective, in milliseconds; 0 or less when
	 * exceeded
	 * @return that time, or the objective of the requests that are usually pipelined
	 * behind it if that is shorter, in milliseconds
	 */
	public long objectiveMillis(String route, long ownMillis) {
		PipelineStats stats = this.statsByRoute.get(route);
		boolean frequent = stats != null && stats.pipelinedShare >= MIN_PIPELINED_SHARE;
		return frequent ? Math.min(ownMillis, (long) stats.pipelinedObjectiveMillis) : ownMillis;
	}

	/**
	 * Pipelining statistics of a route.
	 *
	 * @param pipelinedShare moving average of the share of requests that had others
	 * behind them, 0 to 1
	 * @param pipelinedObjectiveMillis moving average of the shortest objective of the
	 * requests behind, in milliseconds
	 */
	private record PipelineStats(double pipelinedShare, double pipelinedObjectiveMillis) {

	}

}
