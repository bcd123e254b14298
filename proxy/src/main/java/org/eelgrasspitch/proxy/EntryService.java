package org.eelgrasspitch.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.eelgrasspitch.mesh.CallerLimits;
import org.eelgrasspitch.mesh.Candidate;
import org.eelgrasspitch.mesh.FleetRetryBudget;
import org.eelgrasspitch.mesh.Hedging;
import org.eelgrasspitch.mesh.KnownStatements;
import org.eelgrasspitch.mesh.MeshRoute;
import org.eelgrasspitch.mesh.PipelineObjectives;
import org.eelgrasspitch.mesh.Placement;
import org.eelgrasspitch.mesh.ServiceTimes;
import org.eelgrasspitch.mesh.StopSequence;
import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.mesh.TargetStatement;
import org.eelgrasspitch.misc.Digest;

/**
 * State shared by all requests that this entry node accepts: the routing state, the
 * links, the placement on targets and the retry budget.
 */
final class EntryService {

	/**
	 * Fractional part of the golden ratio. Draws that advance by it modulo 1 are spread
	 * evenly, whatever their number.
	 */
	private static final double DRAW_STEP = 0.618033988749895;

	/** Time for which a target is skipped after another one answered at its address. */
	private static final long DISPLACED_TARGET_MILLIS = 3_000;

	/** Minimum time left before the deadline for a retry to be worth sending. */
	private static final long MIN_RETRY_MILLIS = 40;

	/** Maximum number of routes whose longest allowed time is tracked. */
	private static final int MAX_TRACKED_ROUTES = 2_048;

	private final ProxyContext context;

	private final HomeService home;

	private final LinkManager links;

	private final Placement placement;

	private final FleetRetryBudget retryBudget;

	private final PipelineObjectives pipelineObjectives = new PipelineObjectives();

	/**
	 * Longest time that callers have allowed, in milliseconds, by route name; the route's
	 * timeout counts for a caller that sent none.
	 */
	private final Map<String, Long> longestAllowedMillisByRoute = new HashMap<>();

	/** Service times that this entry node has observed, by target identifier. */
	private final Map<String, ServiceTimes> serviceTimesByTarget = new HashMap<>();

	/** What targets have stated in the answers that this entry node received. */
	private final KnownStatements statements = new KnownStatements();

	private RoutingState state = RoutingState.EMPTY;

	/**
	 * Monotonic time in milliseconds until which a target is skipped because another one
	 * answered at its address, by target identifier.
	 */
	private final Map<String, Long> displacedUntilMillis = new HashMap<>();

	private double draw;

	private int activeRequests;

	/** The planned stop of this node; null before it begins. */
	private StopSequence stop;

	EntryService(ProxyContext context, HomeService home, LinkManager links) {
		this.context = context;
		this.home = home;
		this.links = links;
		this.placement = new Placement(context.random());
		this.retryBudget = new FleetRetryBudget(context.settings().retryRatio(), context.settings().retryMinimum(),
				context.settings().retryWindowMillis());
		this.draw = context.random().nextDouble();
		home.setRetryPermission(() -> home.nestedCallRates()
			.permitRetriedRun(this.retryBudget, links.estimateNodeCount(), context.now()));
	}

	/**
	 * Applies the limits of the retry budget in the settings.
	 * @param settings the settings
	 */
	void configure(ProxySettings settings) {
		this.retryBudget.setLimits(settings.retryRatio(), settings.retryMinimum(), settings.retryWindowMillis());
	}

	ProxyContext context() {
		return this.context;
	}

	RoutingState state() {
		return this.state;
	}

	void updateState(RoutingState newest) {
		this.state = newest;
		this.displacedUntilMillis.values().removeIf((until) -> until < this.context.now());
		this.serviceTimesByTarget.keySet().removeIf((targetId) -> newest.directory().find(targetId).isEmpty());
	}

	CallerLimits limits() {
		return (this.state.config() != null) ? this.state.config().limits() : CallerLimits.DEFAULT;
	}

	boolean isReady() {
		return this.state.isComplete() && !isStopping();
	}

	boolean isStopping() {
		return this.stop != null;
	}

	/**
	 * Returns why no request can be served at present.
	 * @return the reason as logged, or empty if requests are served
	 */
	Optional<String> unavailableReason() {
		if (!this.state.isComplete()) {
			return Optional.of("no configuration");
		}
		boolean refusing = isStopping() && !this.stop.acceptsRequests(this.context.now());
		return refusing ? Optional.of("stopping") : Optional.empty();
	}

	/**
	 * Begins the stop: the node is no longer ready, and accepts requests as long as the
	 * stop permits.
	 * @param begun the stop
	 */
	void beginStop(StopSequence begun) {
		this.stop = begun;
	}

	/**
	 * Bounds the deadline of an admitted request by the end of this node, so that a home
	 * that cannot serve it by then refuses it at once.
	 * @param deadlineAtMillis monotonic time of its own deadline in milliseconds
	 * @return the earlier of both
	 */
	long boundDeadline(long deadlineAtMillis) {
		return isStopping() ? Math.min(deadlineAtMillis, this.stop.answersAtMillis()) : deadlineAtMillis;
	}

	/**
	 * Returns whether a request is expected to outlast this node if a target starts it
	 * now.
	 * @param targetId identifier of the target
	 * @param route name of the request's route
	 * @return true if this node is stopping and the request must not start
	 */
	boolean isOutlasted(String targetId, String route) {
		return isStopping() && !StopSequence.endsInTime(lastKnownMillis(targetId, route), this.stop.answersAtMillis(),
				this.context.now());
	}

	private double lastKnownMillis(String targetId, String route) {
		ServiceTimes observed = this.serviceTimesByTarget.get(targetId);
		return (observed != null) ? observed.lastKnownMillis(route)
				: this.serviceTimesByTarget.values()
					.stream()
					.mapToDouble((other) -> other.lastKnownMillis(route))
					.max()
					.orElse(0);
	}

	int activeRequests() {
		return this.activeRequests;
	}

	void requestBegan() {
		this.activeRequests++;
	}

	void requestEnded() {
		this.activeRequests--;
	}

	/**
	 * Estimates how long a caller has been trying already, and records the time that it
	 * allows. A caller that retries a request allows only the remainder of its usual
	 * time, so the difference from the longest time recorded for the route is taken.
	 * @param route the route
	 * @param allowedMillis time that the caller allows, in milliseconds
	 * @return the time in milliseconds; 0 if the allowed time is the longest so far or
	 * the route is not tracked
	 */
	long estimateElapsedMillis(MeshRoute route, long allowedMillis) {
		if (this.longestAllowedMillisByRoute.size() >= MAX_TRACKED_ROUTES
				&& !this.longestAllowedMillisByRoute.containsKey(route.name())) {
			return 0;
		}
		return this.longestAllowedMillisByRoute.merge(route.name(), allowedMillis, Math::max) - allowedMillis;
	}

	PipelineObjectives pipelineObjectives() {
		return this.pipelineObjectives;
	}

	/**
	 * Selects the service of a request by the weights of its route.
	 * @param route its route
	 * @return name of the service
	 */
	String selectService(MeshRoute route) {
		this.draw = (this.draw + DRAW_STEP) % 1;
		return route.selectService(this.draw);
	}

	/**
	 * Chooses the target of a request.
	 * @param route name of the request's route
	 * @param service name of the service
	 * @param tried identifiers of targets to skip
	 * @param objectiveMillis time left until the objective, in milliseconds
	 * @return the choice, or empty if no target accepts requests
	 */
	Optional<TargetChoice> choose(String route, String service, Set<String> tried, long objectiveMillis) {
		return choose(candidates(route, service, tried), objectiveMillis);
	}

	/**
	 * Chooses the target of a hedge.
	 * @param route name of the request's route
	 * @param service name of the service
	 * @param tried identifiers of targets to skip
	 * @param objectiveMillis time left until the objective, in milliseconds
	 * @return the choice, or empty if no target has free capacity
	 */
	Optional<TargetChoice> chooseHedge(String route, String service, Set<String> tried, long objectiveMillis) {
		return choose(candidates(route, service, tried).stream().filter(Hedging::hasCapacity).toList(),
				objectiveMillis);
	}

	private Optional<TargetChoice> choose(List<Candidate> candidates, long objectiveMillis) {
		return this.placement.choose(candidates, objectiveMillis)
			.flatMap((chosen) -> this.state.directory()
				.find(chosen.id())
				.map((target) -> new TargetChoice(target, chosen, candidates)));
	}

	/**
	 * Returns whether {@link #choose} would find a target.
	 * @param route name of the request's route
	 * @param service name of the service
	 * @param tried identifiers of targets to skip
	 * @return true if at least one target accepts requests
	 */
	boolean hasAvailableTarget(String route, String service, Set<String> tried) {
		return candidates(route, service, tried).stream().anyMatch(Candidate::isUp);
	}

	/**
	 * Returns whether a link to a target of a service is likely to open soon.
	 * @param service name of the service
	 * @return true if there is such a target
	 */
	boolean hasExpectedTarget(String service) {
		return this.state.directory()
			.targetsOf(service)
			.stream()
			.anyMatch((target) -> !isLeaving(target) && !isOwnTarget(target) && this.links.isLinkExpected(target));
	}

	/**
	 * Opens a call to a target.
	 * @param target the target
	 * @param head head of the call
	 * @param listener receives the reply
	 * @return handle for the rest of the call; null if there is no usable link
	 */
	CallHandle open(TargetEntry target, CallHead head, CallListener listener) {
		if (isOwnTarget(target)) {
			return this.home.submit(head, this.context.settings().vm(), listener);
		}
		return this.links.linkTo(target).map((link) -> link.open(head, listener)).orElse(null);
	}

	/**
	 * Sends what waits on links for the end of this turn of the event loop.
	 */
	void flushLinks() {
		this.links.flush();
	}

	/**
	 * Records the time that a target took until its response started.
	 * @param targetId identifier of the target
	 * @param route name of the request's route
	 * @param millis the time in milliseconds, see {@link ReplyHead#targetMillis()}
	 */
	void recordTargetTime(String targetId, String route, int millis) {
		this.serviceTimesByTarget.computeIfAbsent(targetId, (id) -> new ServiceTimes())
			.observe(route, millis, this.context.now());
	}

	/**
	 * Records what a target states about itself in the head of its response.
	 * @param attempt the attempt that received it
	 * @param head the head
	 */
	void recordStatement(Attempt attempt, ReplyHead head) {
		StatementReader reader = new StatementReader(this.context.names());
		TargetStatement statement = reader.read((name) -> Headers.find(head.headers(), name).orElse(null), true);
		this.statements.record(attempt.target(), statement, attempt.sentAtMillis(), this.context.now());
	}

	KnownStatements statements() {
		return this.statements;
	}

	/**
	 * Returns whether a request is a nested call, which the target of this VM makes while
	 * it runs another request. The source address does not tell, because callers on this
	 * VM have the same one.
	 * @param requestId identifier of the received request
	 * @return true if the target is running the parent request that the identifier names
	 */
	boolean isNestedCall(String requestId) {
		return RequestIds.parent(requestId).filter(this.home.runningCalls()::contains).isPresent();
	}

	/**
	 * Records the first attempt of a request in the retry budget. A nested call of a
	 * retry also counts as a retry.
	 * @param service name of the service that it is sent to
	 * @param requestId identifier of the request
	 */
	void recordFirstSend(String service, String requestId) {
		this.retryBudget.recordRequest(service, this.context.now());
		if (isNestedCall(requestId)) {
			this.home.nestedCallRates().recordCall(service);
		}
		if (RequestIds.parent(requestId).filter(this.home.runningCalls()::containsRetry).isPresent()) {
			this.retryBudget.recordProbableRetry(service, 1, this.context.now());
		}
	}

	/**
	 * Returns whether a request may be sent to another target. If so and the failed
	 * attempt reached its target, this consumes one retry of the budget.
	 * @param admission decisions made on the request
	 * @param attempts its attempts so far
	 * @param failure how the latest one failed
	 * @param reachedTargetCount number of attempts that reached their target
	 * @return true if a further attempt may be made
	 */
	boolean tryAcquireRetry(Admission admission, Attempts attempts, CallFailure failure, int reachedTargetCount) {
		MeshRoute route = admission.route();
		boolean tooLate = isStopping() && this.context.now() >= this.stop.answersAtMillis();
		if (tooLate || (failure.mayHaveRun() && !route.idempotent())) {
			return false;
		}
		if (!failure.reachedTarget()) {
			return attempts.mayTryAnother();
		}
		boolean notRun = !admission.nestedCall() && !failure.mayHaveRun();
		return reachedTargetCount < route.maxAttempts()
				&& this.context.now() + MIN_RETRY_MILLIS < admission.deadlineAtMillis()
				&& hasAvailableTarget(route.name(), admission.service(), attempts.triedTargets())
				&& tryAcquireRetry(admission.service(),
						notRun ? FleetRetryBudget.Purpose.NOT_RUN : FleetRetryBudget.Purpose.FAILED);
	}

	boolean tryAcquireRetry(String service, FleetRetryBudget.Purpose purpose) {
		return this.retryBudget.tryAcquire(service, this.links.estimateNodeCount(), purpose, this.context.now());
	}

	int availableRetries(String service) {
		return this.retryBudget.available(service, this.links.estimateNodeCount(), this.context.now());
	}

	/**
	 * Skips a target for {@link #DISPLACED_TARGET_MILLIS} because another one answered at
	 * its address.
	 * @param targetId identifier of the displaced target
	 */
	void recordDisplaced(String targetId) {
		this.context.log()
			.logNodeEvent(LogEvent.TARGET_DISPLACED, "target", targetId, "for_ms", DISPLACED_TARGET_MILLIS);
		this.displacedUntilMillis.put(targetId, this.context.now() + DISPLACED_TARGET_MILLIS);
	}

	/**
	 * Records that a target has answered a request completely, so that it is no longer
	 * suspected of crashing targets.
	 * @param request the request
	 * @param body its body
	 */
	void recordAnswer(CallerRequest request, RequestBody body) {
		this.links.quarantine().requestAnswered(() -> fingerprint(request, body));
	}

	/**
	 * Returns whether a request is quarantined because it has crashed too many targets.
	 * @param request the request
	 * @param body its body; a streamed one is not recognised
	 * @return true if it must be refused
	 */
	boolean isQuarantined(CallerRequest request, RequestBody body) {
		return this.links.quarantine().isQuarantined(() -> fingerprint(request, body));
	}

	/**
	 * Returns how a request is named in the log after a target that ran it may have
	 * crashed.
	 * @param request the request
	 * @param body its body
	 * @param reason why the attempt failed; null if none has
	 * @return its fingerprint; empty for another reason and for a streamed body
	 */
	String suspectName(CallerRequest request, RequestBody body, FailureReason reason) {
		boolean mayHaveCrashed = reason == FailureReason.TARGET_BROKE_OFF || reason == FailureReason.TARGET_CRASHED;
		return mayHaveCrashed ? fingerprint(request, body).map(Digest::hex).orElse("") : "";
	}

	/**
	 * Returns the value by which a request is recognised at every node.
	 * @return the fingerprint; empty if the body is streamed
	 */
	private Optional<Digest> fingerprint(CallerRequest request, RequestBody body) {
		return body.isStreamed() ? Optional.empty()
				: Optional.of(request.fingerprint(this.context.settings().service(), body));
	}

	boolean isDisplaced(String targetId) {
		Long until = this.displacedUntilMillis.get(targetId);
		return until != null && this.context.now() < until;
	}

	/**
	 * Returns whether a target is about to stop, by its entry or by an answer that this
	 * node has passed on.
	 * @param target the target
	 * @return true if it must get no new requests
	 */
	private boolean isLeaving(TargetEntry target) {
		return target.draining() || this.statements.isLeaving(target);
	}

	private boolean isOwnTarget(TargetEntry target) {
		return target.address().equals(this.context.settings().targetAddress());
	}

	private List<Candidate> candidates(String route, String service, Set<String> tried) {
		List<Candidate> candidates = new ArrayList<>();
		for (TargetEntry target : this.state.directory().targetsOf(service)) {
			if (!isLeaving(target) && !tried.contains(target.id()) && !isDisplaced(target.id())) {
				toCandidate(target, route).ifPresent(candidates::add);
			}
		}
		return candidates;
	}

	private Optional<Candidate> toCandidate(TargetEntry target, String route) {
		boolean near = target.failureDomain().equals(this.context.settings().failureDomain());
		ServiceTimes observed = this.serviceTimesByTarget.get(target.id());
		double millis = (observed != null) ? observed.recentMillis(route, this.context.now()) : 0;
		if (isOwnTarget(target)) {
			return Optional.of(new Candidate(target.id(), near, this.home.load(), 0, millis, target.coldMillis(), 0));
		}
		return this.links.linkTo(target)
			.map((link) -> new Candidate(target.id(), near, link.load(), link.sentSinceReport(), millis,
					target.coldMillis(), this.context.now() - link.lastReceivedAtMillis()));
	}

}
