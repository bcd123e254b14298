package org.eelgrasspitch.fleet;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.eelgrasspitch.text.Channel;

/**
 * Schedules this node's calls to the platform.
 * <p>
 * At most one call per {@link Channel} is in flight. Every call takes a token from one
 * bucket for all channels, whose rate is this node's part of the fleet's rate limit for
 * platform calls, or the whole limit until a VM list is accepted. Failures are followed
 * by backoff with full jitter. The answer to a call that was superseded, for example
 * after a pause, is recognised by its sequence number and ignored.
 */
final class PlatformCallScheduler {

	private static final Backoff BACKOFF = new Backoff(500, 8_000);

	private static final double BURST_CALLS = 6;

	private final RandomGenerator random;

	private final TokenBucket bucket;

	private final Map<Channel, Call> calls = new EnumMap<>(Channel.class);

	/** Sequence number of the latest call of any channel; 0 before the first. */
	private long lastSequence;

	PlatformCallScheduler(RandomGenerator random, double ratePerSecond, long now) {
		this.random = random;
		this.bucket = new TokenBucket(ratePerSecond, BURST_CALLS, now);
		for (Channel channel : Channel.values()) {
			this.calls.put(channel, new Call());
		}
	}

	void setRate(double ratePerSecond, long now) {
		this.bucket.setRate(ratePerSecond, now);
	}

	/**
	 * Starts a call unless one is in flight, a backoff is active or the bucket is empty.
	 */
	Optional<FleetEffect> tryCall(Channel channel, long afterRevision, long waitMillis, long now) {
		Call call = this.calls.get(channel);
		if (call.inFlight || now < call.notBefore || !this.bucket.tryAcquire(now)) {
			return Optional.empty();
		}
		call.inFlight = true;
		call.sequence = ++this.lastSequence;
		return Optional.of(new FleetEffect.CallPlatform(channel, call.sequence, afterRevision, waitMillis));
	}

	/**
	 * Completes a call that was answered.
	 * @return false when the call was superseded and its answer must be ignored
	 */
	boolean complete(Channel channel, long sequence) {
		Call call = this.calls.get(channel);
		if (!call.inFlight || call.sequence != sequence) {
			return false;
		}
		call.inFlight = false;
		call.failures = 0;
		return true;
	}

	boolean fail(Channel channel, long sequence, long now) {
		Call call = this.calls.get(channel);
		if (!call.inFlight || call.sequence != sequence) {
			return false;
		}
		call.inFlight = false;
		call.failures++;
		call.notBefore = now + BACKOFF.delayMillis(call.failures, this.random);
		return true;
	}

	/**
	 * Abandons the calls in flight and ends backoffs, so that the next call may start at
	 * once.
	 */
	void reset() {
		this.calls.values().forEach((call) -> {
			call.inFlight = false;
			call.notBefore = 0;
		});
	}

	/**
	 * Call state of one channel.
	 */
	private static final class Call {

		/** True while an answer is awaited. */
		private boolean inFlight;

		/** Sequence number of the latest call; 0 before the first. */
		private long sequence;

		/** Consecutive failures. */
		private int failures;

		/** Earliest time of the next call, in monotonic milliseconds. */
		private long notBefore;

	}

}
