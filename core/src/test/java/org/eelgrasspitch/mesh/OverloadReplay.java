package org.eelgrasspitch.mesh;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import org.eelgrasspitch.mesh.HomeQueue.Decision;
import org.eelgrasspitch.mesh.HomeQueue.Job;

/**
 * Replays a load against one target: arrivals in, outcomes out.
 */
final class OverloadReplay {

	private final int slots;

	private final List<Arrival> arrivals = new ArrayList<>();

	private final SplittableRandom random;

	OverloadReplay(int slots, long seed) {
		this.slots = slots;
		this.random = new SplittableRandom(seed);
	}

	/**
	 * Adds arrivals at random times.
	 * @param perSecond mean rate
	 * @param from start in milliseconds
	 * @param to end in milliseconds
	 * @param shape what is alike in all of them
	 * @return this replay
	 */
	OverloadReplay load(double perSecond, long from, long to, Shape shape) {
		double at = from;
		while (at < to) {
			at += -Math.log(1 - this.random.nextDouble()) * 1_000 / perSecond;
			double service = shape.serviceMillis * (0.5 + this.random.nextDouble());
			this.arrivals.add(new Arrival((long) at, shape, service));
		}
		this.arrivals.sort(Comparator.comparingLong(Arrival::at));
		return this;
	}

	/**
	 * Replays with the queue of the home.
	 * @return what became of every arrival
	 */
	List<Result> withHomeQueue() {
		HomeQueue<Arrival> queue = new HomeQueue<>();
		List<Result> results = new ArrayList<>();
		PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparingDouble(Running::endsAt));
		long tick = 0;
		for (Arrival arrival : Stream.concat(this.arrivals.stream(), Stream.of(end())).toList()) {
			for (; tick <= arrival.at; tick += 10) {
				while (!running.isEmpty() && running.peek().endsAt <= tick) {
					Running ended = running.poll();
					results.add(new Result(ended.arrival, (long) ended.endsAt - ended.arrival.at, true));
					carryOut(queue.release(this.slots, (long) ended.endsAt), (long) ended.endsAt, running, results);
				}
				carryOut(queue.next(this.slots, tick), tick, running, results);
			}
			if (arrival.shape != null) {
				carryOut(queue.offer(
						new Job<>(arrival, arrival.shape.rank, arrival.at + arrival.shape.objectiveMillis,
								arrival.at + arrival.shape.deadlineMillis, arrival.shape.serviceMillis),
						this.slots, arrival.at), arrival.at, running, results);
			}
		}
		return results;
	}

	/**
	 * Replays with a queue in the order of arrival that refuses nothing before its
	 * deadline.
	 * @return what became of every arrival
	 */
	List<Result> inOrderOfArrival() {
		List<Result> results = new ArrayList<>();
		PriorityQueue<Double> freeAt = new PriorityQueue<>();
		for (int i = 0; i < this.slots; i++) {
			freeAt.add(0.0);
		}
		for (Arrival arrival : this.arrivals) {
			double start = Math.max(arrival.at, freeAt.peek());
			if (start + arrival.serviceMillis > arrival.at + arrival.shape.deadlineMillis) {
				results.add(new Result(arrival, arrival.shape.deadlineMillis, false));
				continue;
			}
			freeAt.poll();
			freeAt.add(start + arrival.serviceMillis);
			results.add(new Result(arrival, (long) (start + arrival.serviceMillis) - arrival.at, true));
		}
		return results;
	}

	static long onTime(List<Result> results, Shape shape) {
		return results.stream()
			.filter((result) -> result.arrival.shape == shape && result.served
					&& result.tookMillis <= shape.objectiveMillis)
			.count();
	}

	static long served(List<Result> results, Shape shape) {
		return results.stream().filter((result) -> result.arrival.shape == shape && result.served).count();
	}

	private static Arrival end() {
		return new Arrival(60_000, null, 0);
	}

	private void carryOut(Decision<Arrival> decision, long now, PriorityQueue<Running> running, List<Result> results) {
		decision.started().forEach((started) -> running.add(new Running(started, now + started.serviceMillis)));
		decision.refused()
			.forEach((refused) -> results.add(new Result(refused.work(), now - refused.work().at, false)));
	}

	/**
	 * What is alike in many arrivals.
	 *
	 * @param rank importance
	 * @param serviceMillis mean service time
	 * @param objectiveMillis time until an answer is late
	 * @param deadlineMillis time until the caller leaves
	 */
	record Shape(int rank, double serviceMillis, long objectiveMillis, long deadlineMillis) {

	}

	/**
	 * One arrival.
	 *
	 * @param at when, in milliseconds
	 * @param shape what it is; null for the end of the replay
	 * @param serviceMillis its own service time
	 */
	record Arrival(long at, Shape shape, double serviceMillis) {

	}

	/**
	 * What became of an arrival.
	 *
	 * @param arrival the arrival
	 * @param tookMillis when its caller got an answer
	 * @param served whether it was served
	 */
	record Result(Arrival arrival, long tookMillis, boolean served) {

	}

	private record Running(Arrival arrival, double endsAt) {

	}

}
