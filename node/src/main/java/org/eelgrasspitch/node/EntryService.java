package org.eelgrasspitch.node;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;

import io.netty.util.HashedWheelTimer;
import io.netty.util.Timeout;
import org.eelgrasspitch.fleet.LifecycleState;
import org.eelgrasspitch.misc.ErrorType;
import org.eelgrasspitch.misc.Position;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.OutcomeClaim;
import org.eelgrasspitch.request.Reason;
import org.eelgrasspitch.request.RetryBudget;
import org.eelgrasspitch.request.TargetSelector;
import org.eelgrasspitch.request.Ticket;
import org.eelgrasspitch.text.OperationKind;
import org.eelgrasspitch.text.Route;
import org.eelgrasspitch.text.RouteKey;
import org.eelgrasspitch.text.Service;
import org.eelgrasspitch.text.Snapshot;
import org.eelgrasspitch.text.Vm;
import org.eelgrasspitch.text.VmList;

/**
 * Handles callers' requests at their entry node and selects targets for them. Each
 * request is processed by an {@link EntryCall}.
 */
final class EntryService {

	private static final int NOT_FOUND = 404;

	private static final int PRECONDITION_REQUIRED = 428;

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private static final long OUTCOME_QUERY_TIMEOUT_MILLIS = 1_000;

	private final NodeContext context;

	private final HomeService home;

	private final CallClient calls;

	/** Target statistics; guarded by its own lock. */
	private final TargetSelector targetSelector;

	private final RetryBudget budget;

	private final HashedWheelTimer timer;

	/** Receives the revisions that callers know to be in force; 0 for unknown. */
	private final LongConsumer revisionListener;

	EntryService(NodeContext context, HomeService home, CallClient calls, HashedWheelTimer timer,
			LongConsumer revisionListener, RandomGenerator random) {
		this.timer = timer;
		this.revisionListener = revisionListener;
		this.context = context;
		this.budget = new RetryBudget(context.settings().guards());
		this.home = home;
		this.calls = calls;
		this.targetSelector = new TargetSelector(context.settings().failureDomain(), random);
		context.state().setVmsListener(this::updateVms);
	}

	/**
	 * Handles a caller's request. A request that arrives while the configuration text is
	 * being confirmed or after a pause of the process is deferred. The time for which it
	 * is deferred does not count towards its deadline.
	 * @param request the request
	 * @param item the accepted work that the request is; ended by the caller of this
	 * method once the reply is written
	 * @param callback receives the reply exactly once
	 * @return to be run when the caller has left, see {@link EntryCall#callerLeft}
	 */
	Runnable handle(CallerRequest request, AcceptedWork.Item item, Consumer<EntryReply> callback) {
		OnceConsumer<EntryReply> once = new OnceConsumer<>(callback);
		AtomicReference<EntryCall> started = new AtomicReference<>();
		item.setLastAnswer(() -> once.accept(refusal(Reason.LEAVING, request)));
		continueUnlessDeferred(request, item, once, started);
		return () -> {
			if (started.get() == null && request.ticket().isEmpty()) {
				once.accept(refusal(Reason.CANCELLED, request));
			}
			// It may have been started meanwhile, on another thread.
			Optional.ofNullable(started.get()).ifPresent(EntryCall::callerLeft);
		};
	}

	private void continueUnlessDeferred(CallerRequest request, AcceptedWork.Item item,
			OnceConsumer<EntryReply> callback, AtomicReference<EntryCall> started) {
		if (callback.isDone()) {
			return;
		}
		if (this.context.isLeaving()) {
			callback.accept(refusal(Reason.LEAVING, request));
			return;
		}
		if (this.context.state()
			.deferUntilConfirmed(() -> continueUnlessDeferred(request, item, callback, started), now())) {
			return;
		}
		this.revisionListener.accept(request.knownRevision());
		Optional<Snapshot> snapshot = this.context.state().snapshot();
		if (snapshot.isEmpty() || this.context.state().lifecycle() == LifecycleState.STARTING) {
			callback.accept(refusal(Reason.NOT_READY, request));
			return;
		}
		Optional<Route> route = snapshot.get().route(request.route());
		if (route.isEmpty()) {
			callback.accept(invalid(NOT_FOUND, ErrorType.NO_ROUTE, request.route(), snapshot.get().version()));
			return;
		}
		if (route.get().operation().kind() == OperationKind.AT_MOST_ONCE && request.ticket().isEmpty()) {
			callback.accept(invalid(PRECONDITION_REQUIRED, ErrorType.TICKET_REQUIRED, request.route()));
			return;
		}
		EntryCall call = new EntryCall(this, snapshot.get(), route.get(), request, callback);
		started.set(call);
		// Before the start: from then on the request may run.
		item.setLastAnswer(call::timeOver);
		call.start();
	}

	/**
	 * Obtains tickets for at-most-once requests from the node of a selected target.
	 * @param key the operation
	 * @param count number of tickets; the home issues at least 1 and at most 100
	 * @param item the accepted work that the query is; ended by the caller of this method
	 * once the tickets or the refusal are written
	 * @param callback receives the tickets or the refusal exactly once
	 */
	void tickets(RouteKey key, int count, AcceptedWork.Item item, Consumer<CallMessage.Tickets> callback) {
		OnceConsumer<CallMessage.Tickets> once = new OnceConsumer<>(callback);
		item.setLastAnswer(() -> once.accept(TicketCall.refusal(Reason.LEAVING)));
		if (this.context.isLeaving()) {
			once.accept(TicketCall.refusal(Reason.LEAVING));
			return;
		}
		Optional<Route> route = this.context.state().snapshot().flatMap((snapshot) -> snapshot.route(key));
		if (route.isEmpty()) {
			once.accept(TicketCall.refusal(Reason.NO_ROUTE));
			return;
		}
		new TicketCall(this, route.get(), key, count, once).startAttempt();
	}

	/**
	 * Queries the outcome of an at-most-once request from the home of its ticket. A node
	 * that leaves answers too: "unknown" would be taken for the outcome.
	 * @param ticket the ticket of the request
	 * @param item the accepted work that the query is; ended by the caller of this method
	 * once the outcome is written
	 * @param callback receives the outcome exactly once; {@link CallOutcome.Late} while
	 * the request is running; unknown if the home cannot be reached in time
	 */
	void outcome(Ticket ticket, AcceptedWork.Item item, Consumer<CallOutcome> callback) {
		OnceConsumer<CallOutcome> once = new OnceConsumer<>(callback);
		item.setLastAnswer(() -> once.accept(new CallOutcome.Unknown(Reason.LEAVING)));
		send(ticket.home(), ticket.address(), (call) -> new CallMessage.OutcomeQuery(call, ticket),
				new OutcomeCallback(once, Reason.HOME_UNREACHABLE));
		schedule(OUTCOME_QUERY_TIMEOUT_MILLIS, () -> once.accept(new CallOutcome.Unknown(Reason.HOME_UNREACHABLE)));
	}

	NodeContext context() {
		return this.context;
	}

	RetryBudget budget() {
		return this.budget;
	}

	long now() {
		return this.context.time().monotonicMillis();
	}

	Optional<Vm> selectTarget(Service service, Set<String> triedVms) {
		List<Vm> candidates = this.context.state().vms().ofService(service.name());
		synchronized (this.targetSelector) {
			return this.targetSelector.select(service, candidates, triedVms, now());
		}
	}

	List<String> ejected() {
		synchronized (this.targetSelector) {
			return this.targetSelector.ejected(now());
		}
	}

	void requestSent(String vm) {
		synchronized (this.targetSelector) {
			this.targetSelector.onSent(vm, now());
		}
	}

	void requestEnded(String vm, CallOutcome outcome, long tookMillis) {
		synchronized (this.targetSelector) {
			this.targetSelector.onEnded(vm, outcome, tookMillis, now());
		}
	}

	/**
	 * Records the end of an attempt whose caller has left, which says nothing about the
	 * target.
	 * @param vm name of the target's VM
	 */
	void requestAbandoned(String vm) {
		synchronized (this.targetSelector) {
			this.targetSelector.onAbandoned(vm, now());
		}
	}

	Timeout schedule(long millis, Runnable task) {
		return this.timer.newTimeout((timeout) -> task.run(), millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Sends a message to the node of a VM. A message to this node is handled directly
	 * without the network.
	 * @param vm name of the VM
	 * @param address address of its node
	 * @param messageFactory creates the message for a given call number
	 * @param callback receives the result
	 * @return a handle to cancel the call; the callback of a message to this node may
	 * still be called after the cancellation
	 */
	CallClient.PendingCall send(String vm, InetSocketAddress address, LongFunction<CallMessage> messageFactory,
			CallClient.Callback callback) {
		if (!vm.equals(this.context.settings().vm())) {
			return this.calls.call(address, messageFactory, callback);
		}
		switch (messageFactory.apply(0)) {
			case CallMessage.Request request -> {
				Runnable cancel = this.home.handle(request, (outcome) -> callback
					.replied(new CallMessage.Reply(0, outcome, this.context.state().revision())));
				return () -> {
					cancel.run();
					return false;
				};
			}
			case CallMessage.TicketQuery query -> callback.replied(this.home.tickets(query));
			case CallMessage.OutcomeQuery query -> callback
				.replied(new CallMessage.Reply(0, this.home.outcome(query.ticket()), this.context.state().revision()));
			case CallMessage other ->
				throw new IllegalStateException("message cannot be handled by the local node: " + other);
		}
		return () -> false;
	}

	private void updateVms(VmList list) {
		synchronized (this.targetSelector) {
			this.targetSelector.update(list, now());
		}
	}

	/**
	 * Refuses a request before its route is known. A request with a ticket is treated as
	 * an at-most-once request.
	 */
	private EntryReply refusal(Reason reason, CallerRequest request) {
		CallOutcome outcome = OutcomeClaim.refused(reason, RETRY_AFTER_MILLIS, request.ticket().isPresent(),
				request.firstAttempt());
		return new EntryReply.WithOutcome(outcome, request.ticket(), this.context.state().revision());
	}

	private static EntryReply invalid(int status, ErrorType type, Object... arguments) {
		return new EntryReply.Invalid(status, Problem.of(type, Position.UNKNOWN, arguments));
	}

}
