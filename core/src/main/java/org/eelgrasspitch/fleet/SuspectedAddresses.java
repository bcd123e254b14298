package org.eelgrasspitch.fleet;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Addresses that recently failed to respond. A suspicion expires after a minimum delay
 * plus a jittered backoff whose bound doubles with each consecutive failure up to a cap,
 * so that an address is retried indefinitely.
 */
final class SuspectedAddresses {

	private static final Backoff BACKOFF = new Backoff(2_000, 30_000);

	private static final long MIN_DELAY_MILLIS = 500;

	private final RandomGenerator random;

	private final Map<InetSocketAddress, Suspicion> suspicions = new HashMap<>();

	SuspectedAddresses(RandomGenerator random) {
		this.random = random;
	}

	void suspect(InetSocketAddress address, long now) {
		Suspicion previous = this.suspicions.get(address);
		int failures = (previous != null) ? previous.failures() + 1 : 1;
		long until = now + MIN_DELAY_MILLIS + BACKOFF.delayMillis(failures, this.random);
		this.suspicions.put(address, new Suspicion(failures, until));
	}

	void clear(InetSocketAddress address) {
		this.suspicions.remove(address);
	}

	void clearAll() {
		this.suspicions.clear();
	}

	boolean isSuspected(InetSocketAddress address, long now) {
		Suspicion suspicion = this.suspicions.get(address);
		return suspicion != null && now < suspicion.until();
	}

	/**
	 * Suspicion of one address.
	 *
	 * @param failures number of consecutive failures
	 * @param until when the suspicion expires, in monotonic milliseconds
	 */
	private record Suspicion(int failures, long until) {

	}

}
