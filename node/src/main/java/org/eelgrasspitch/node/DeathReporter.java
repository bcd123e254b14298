package org.eelgrasspitch.node;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.netty.util.HashedWheelTimer;
import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.text.Vm;

/**
 * Reports to all other nodes of a service that the connection to the local target was
 * lost while it ran a request, which counts as a death of the target. Waits for their
 * acknowledgements for at most {@value #ACKNOWLEDGEMENT_TIMEOUT_MILLIS} ms before the
 * entry node receives the failure, so that a resend through another node is refused by
 * the quarantine. The acknowledgements tell this node of deaths before its start.
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
	 * @param service name of the service
	 * @param fingerprint fingerprint of the request
	 * @param known called with the name of each VM whose target died under the request,
	 * as the other nodes know it
	 * @param done called exactly once, when every other node has acknowledged the report
	 * or could not be reached, or after the timeout
	 */
	void report(String service, Digest fingerprint, Consumer<String> known, Runnable done) {
		String self = this.context.settings().vm();
		List<Vm> others = this.context.state()
			.vms()
			.ofService(service)
			.stream()
			.filter((vm) -> !vm.name().equals(self))
			.toList();
		OnceConsumer<Boolean> once = new OnceConsumer<>((complete) -> done.run());
		AtomicInteger outstanding = new AtomicInteger(others.size());
		this.timer.newTimeout((timeout) -> once.accept(false), ACKNOWLEDGEMENT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		Runnable nodeDone = () -> {
			if (outstanding.decrementAndGet() <= 0) {
				once.accept(true);
			}
		};
		others.forEach((vm) -> this.calls.call(vm.address(),
				(call) -> new CallMessage.DeathNotice(call, fingerprint, self), new ReportCallback(known, nodeDone)));
		if (others.isEmpty()) {
			once.accept(true);
		}
	}

	/**
	 * Counts a node as done, whether it acknowledged the report or could not be reached.
	 *
	 * @param known called with the deaths that the node knows
	 * @param nodeDone called once for the node
	 */
	private record ReportCallback(Consumer<String> known, Runnable nodeDone) implements CallClient.Callback {

		@Override
		public void replied(CallMessage message) {
			if (message instanceof CallMessage.DeathNoticeAck ack) {
				ack.targets().forEach(this.known);
			}
			this.nodeDone.run();
		}

		@Override
		public void failed(CallOutcome outcome) {
			this.nodeDone.run();
		}

	}

}
