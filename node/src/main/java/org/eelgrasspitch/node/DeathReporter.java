package org.eelgrasspitch.node;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.util.HashedWheelTimer;
import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.text.Vm;

/**
 * Tells all nodes of a service that its target here broke off a request, and waits for
 * their acknowledgements for a short time, before the entry node hears of the failure.
 */
final class DeathReporter {

	private static final long ACKNOWLEDGEMENT_TIMEOUT_MILLIS = 1_000;

	private final NodeContext context;

	private final CallClient calls;

	private final HashedWheelTimer timer;

	DeathReporter(NodeContext context, CallClient calls, HashedWheelTimer timer) {
		this.context = context;
		this.calls = calls;
		this.timer = timer;
	}

	/**
	 * Reports a death.
	 * @param service the service
	 * @param fingerprint fingerprint of the request
	 * @param done called once, when every reachable node knows or the wait is over
	 */
	void report(String service, Digest fingerprint, Runnable done) {
		String self = this.context.settings().vm();
		List<Vm> others = this.context.state()
			.vms()
			.ofService(service)
			.stream()
			.filter((vm) -> !vm.name().equals(self))
			.toList();
		OnceConsumer<Boolean> once = new OnceConsumer<>((complete) -> done.run());
		AtomicInteger unacknowledged = new AtomicInteger(others.size());
		this.timer.newTimeout((timeout) -> once.accept(false), ACKNOWLEDGEMENT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		Runnable acknowledged = () -> {
			if (unacknowledged.decrementAndGet() <= 0) {
				once.accept(true);
			}
		};
		others.forEach((vm) -> this.calls.call(vm.address(),
				(call) -> new CallMessage.DeathNotice(call, fingerprint, self), new Acknowledgement(acknowledged)));
		if (others.isEmpty()) {
			once.accept(true);
		}
	}

	/**
	 * Counts one node, whether it knows now or cannot be reached.
	 *
	 * @param acknowledged counts it
	 */
	private record Acknowledgement(Runnable acknowledged) implements CallClient.Callback {

		@Override
		public void replied(CallMessage message) {
			this.acknowledged.run();
		}

		@Override
		public void failed(CallOutcome outcome) {
			this.acknowledged.run();
		}

	}

}
