package org.eelgrasspitch.mesh;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import org.eelgrasspitch.mesh.TargetQueue.Decision;
import org.eelgrasspitch.mesh.TargetQueue.Job;

/**
 * Simulates a load against one target.
 */
final class OverloadSimulation {

	private final int slots;

	private final List<Arrival> arrivals = new ArrayList<>();

	private final SplittableRandom random;

	OverloadSimulation(int slots, long seed) {
		this.slots = slots;
		this.random = new SplittableRandom(seed);
	}

	/**
	 * Adds arrivals at random times.
	 * @param perSecond mean arrival rate per second
	 * @param fromMillis start of the arrivals in milliseconds
	 * @param toMillis end of the arrivals in milliseconds
	 * @param workload properties shared by all of them
	 * @return this simulation
	 */
	OverloadSimulation addLoad(double perSecond, long fromMillis, long toMillis, Workload workload) {
		double at = fromMillis;
		while (at < toMillis) {
			at += -Math.log(1 - this.random.nextDouble()) * 1_000 / perSecond;
			double service = workload.serviceMillis * (0.5 + this.random.nextDouble());
			this.arrivals.add(new Arrival((long) at, workload, service));
		}
		this.arrivals.sort(Comparator.comparingLong(Arrival::atMillis));
		return this;
	}

	/**
	 * Runs the simulation with a {@link TargetQueue}.
	 * @return the result of every arrival
	 */
	List<Result> runTargetQueue() {
		TargetQueue<Arrival> queue = new TargetQueue<>(new StartPacer(StartPacer.DEFAULT_SETTLE_MILLIS));
		List<Result> results = new ArrayList<>();
		PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparingDouble(Running::endsAtMillis));
		long tickMillis = 0;
		for (Arrival arrival : Stream.concat(this.arrivals.stream(), Stream.of(endOfSimulation())).toList()) {
			for (; tickMillis <= arrival.atMillis; tickMillis += 10) {
				while (!running.isEmpty() && running.peek().endsAtMillis <= tickMillis) {
					Running ended = running.poll();
					results.add(new Result(ended.arrival, (long) ended.endsAtMillis - ended.arrival.atMillis, true));
					apply(queue.release(this.slots, (long) ended.endsAtMillis), (long) ended.endsAtMillis, running,
							results);
				}
				apply(queue.schedule(this.slots, tickMillis), tickMillis, running, results);
			}
			if (arrival.workload != null) {
				apply(queue.offer(
						new Job<>(arrival, arrival.workload.rank, arrival.atMillis + arrival.workload.objectiveMillis,
								arrival.atMillis + arrival.workload.deadlineMillis, arrival.workload.serviceMillis),
						this.slots, arrival.atMillis), arrival.atMillis, running, results);
			}
		}
		return results;
	}

	/**
	 * Runs the simulation with a FIFO queue that refuses a request only if it would end
	 * after its deadline.
	 * @return the result of every arrival
	 */
	List<Result> runFifoQueue() {
		List<Result> results = new ArrayList<>();
		PriorityQueue<Double> slotFreeAt = new PriorityQueue<>();
		for (int i = 0; i < this.slots; i++) {
			slotFreeAt.add(0.0);
		}
		for (Arrival arrival : this.arrivals) {
			double start = Math.max(arrival.atMillis, slotFreeAt.peek());
			if (start + arrival.serviceMillis > arrival.atMillis + arrival.workload.deadlineMillis) {
				results.add(new Result(arrival, arrival.workload.deadlineMillis, false));
				continue;
			}
			slotFreeAt.poll();
			slotFreeAt.add(start + arrival.serviceMillis);
			results.add(new Result(arrival, (long) (start + arrival.serviceMillis) - arrival.atMillis, true));
		}
		return results;
	}

	static long onTime(List<Result> results, Workload workload) {
		return results.stream()
			.filter((result) -> result.arrival.workload == workload && result.served
					&& result.tookMillis <= workload.objectiveMillis)
			.count();
	}

	static long served(List<Result> results, Workload workload) {
		return results.stream().filter((result) -> result.arrival.workload == workload && result.served).count();
	}

	private static Arrival endOfSimulation() {
		return new Arrival(60_000, null, 0);
	}

	private void apply(Decision<Arrival> decision, long now, PriorityQueue<Running> running, List<Result> results) {
		decision.started().forEach((started) -> running.add(new Running(started, now + started.serviceMillis)));
		decision.refused()
			.forEach((refused) -> results.add(new Result(refused.work(), now - refused.work().atMillis, false)));
	}

	/**
	 * Properties shared by many arrivals.
	 *
	 * @param rank priority; the lowest rank goes first
	 * @param serviceMillis mean service time in milliseconds
	 * @param objectiveMillis time until the objective in milliseconds
	 * @param deadlineMillis time until the caller stops waiting, in milliseconds
	 */
	record Workload(int rank, double serviceMillis, long objectiveMillis, long deadlineMillis) {

	}

	/**
	 * An arriving request.
	 *
	 * @param atMillis time of the arrival in milliseconds
	 * @param workload properties of the request; null marks the end of the simulation
	 * @param serviceMillis service time of this request in milliseconds
	 */
	record Arrival(long atMillis, Workload workload, double serviceMillis) {

	}

	/**
	 * Result of an arrival.
	 *
	 * @param arrival the arriving request
	 * @param tookMillis time from the arrival to the answer or refusal, in milliseconds
	 * @param served whether it was served
	 */
	record Result(Arrival arrival, long tookMillis, boolean served) {

	}

	private record Running(Arrival arrival, double endsAtMillis) {

	}

}
