package org.eelgrasspitch.node;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.Reason;
import org.eelgrasspitch.request.RetryPolicy;
import org.eelgrasspitch.text.Route;
import org.eelgrasspitch.text.RouteKey;
import org.eelgrasspitch.text.Vm;

/**
 * Obtains tickets for one caller. Issuing tickets runs nothing on a target, so the query
 * is repeated at other nodes, up to {@link RetryPolicy#MAX_ATTEMPTS} in all, if one does
 * not answer in time or refuses.
 */
final class TicketCall {

	private static final long ATTEMPT_TIMEOUT_MILLIS = 500;

	private final EntryService entry;

	private final Route route;

	private final RouteKey key;

	private final int count;

	private final Consumer<CallMessage.Tickets> callback;

	/** Names of the VMs queried so far. */
	private final Set<String> triedVms = new HashSet<>();

	TicketCall(EntryService entry, Route route, RouteKey key, int count, Consumer<CallMessage.Tickets> callback) {
		this.entry = entry;
		this.route = route;
		this.key = key;
		this.count = count;
		this.callback = callback;
	}

	void startAttempt() {
		Optional<Vm> selected = this.entry.selectTarget(this.route.service(), this.triedVms);
		if (selected.isEmpty() || this.triedVms.size() >= RetryPolicy.MAX_ATTEMPTS) {
			refuse(Reason.NO_TARGET);
			return;
		}
		Vm vm = selected.get();
		this.triedVms.add(vm.name());
		this.entry.requestSent(vm.name());
		OnceConsumer<CallMessage.Tickets> once = new OnceConsumer<>((tickets) -> attemptEnded(vm, tickets));
		this.entry.send(vm.name(), vm.address(), (call) -> new CallMessage.TicketQuery(call, this.key, this.count),
				new TicketsCallback(once));
		this.entry.schedule(ATTEMPT_TIMEOUT_MILLIS, () -> once.accept(refusal(Reason.HOME_UNREACHABLE)));
	}

	private void attemptEnded(Vm vm, CallMessage.Tickets tickets) {
		// Late changes neither latency nor failure statistics of the target; the duration
		// is ignored.
		CallOutcome outcome = tickets.refusal()
			.<CallOutcome>map((reason) -> new CallOutcome.NotRun(reason, 0))
			.orElseGet(() -> new CallOutcome.Late(0));
		this.entry.requestEnded(vm.name(), outcome, 1);
		if (tickets.refusal().isEmpty()) {
			this.callback.accept(tickets);
			return;
		}
		startAttempt();
	}

	private void refuse(Reason reason) {
		this.callback.accept(refusal(reason));
	}

	/**
	 * Creates a refusal to issue tickets.
	 * @param reason why there are none
	 * @return the refusal
	 */
	static CallMessage.Tickets refusal(Reason reason) {
		return new CallMessage.Tickets(0, List.of(), Optional.of(reason));
	}

	/**
	 * Converts the result of a query to one node into tickets or a refusal.
	 *
	 * @param callback receives the tickets or the refusal
	 */
	private record TicketsCallback(Consumer<CallMessage.Tickets> callback) implements CallClient.Callback {

		@Override
		public void replied(CallMessage message) {
			this.callback
				.accept((message instanceof CallMessage.Tickets tickets) ? tickets : refusal(Reason.HOME_UNREACHABLE));
		}

		@Override
		public void failed(CallOutcome outcome) {
			this.callback.accept(refusal(Reason.HOME_UNREACHABLE));
		}

	}

}
