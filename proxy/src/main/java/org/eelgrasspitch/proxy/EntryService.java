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
import org.eelgrasspitch.mesh.MeshRoute;
import org.eelgrasspitch.mesh.PipelineObjectives;
import org.eelgrasspitch.mesh.Placement;
import org.eelgrasspitch.mesh.ServiceTimes;
import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.misc.Digest;

/**
 * What all requests of this entry share: the documents in force, the links, the choice of
 * targets and the budget of repeats.
 */
final class EntryService {

	/** Fraction of the golden ratio: spreads draws evenly, whatever their number. */
	private static final double DRAW_STEP = 0.618033988749895;

	/** How long requests are taken after the signal to stop. */
	private static final long STOP_ACCEPT_MILLIS = 2_800;

	/** How long a target is passed over that was not found at its address. */
	private static final long DISPLACED_TARGET_MILLIS = 3_000;

	/** Routes whose usual time is remembered. */
	private static final int MAX_TRACKED_ROUTES = 2_048;

	private final ProxyContext context;

	private final HomeService home;

	private final LinkManager links;

	private final Placement placement;

	private final FleetRetryBudget retryBudget;

	private final PipelineObjectives pipelineObjectives = new PipelineObjectives();

	/** Longest time that callers of a route have allowed, in milliseconds. */
	private final Map<String, Long> maxTimeoutMillisByRoute = new HashMap<>();

	/** What this entry has observed of each target, by its identifier. */
	private final Map<String, ServiceTimes> serviceTimesByTarget = new HashMap<>();

	private RoutingState state = RoutingState.EMPTY;

	/**
	 * Until when each target is passed over, because another one answered in its place.
	 */
	private final Map<String, Long> displacedUntilMillis = new HashMap<>();

	private double draw;

	private int activeRequests;

	/** Whether nothing more is taken, since nothing is in progress. */
	private boolean refusingAll;

	/** When this node was told to stop; 0 before. */
	private long stoppingSinceMillis;

	EntryService(ProxyContext context, HomeService home, LinkManager links) {
		this.context = context;
		this.home = home;
		this.links = links;
		this.placement = new Placement(context.random());
		this.retryBudget = new FleetRetryBudget(context.settings().retryRatio(), context.settings().retryMinimum(),
				context.settings().retryWindowMillis());
		this.draw = context.random().nextDouble();
	}

	/**
	 * Takes over the budget of repeats that the settings name.
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
		this.serviceTimesByTarget.keySet().removeIf((target) -> newest.directory().find(target).isEmpty());
	}

	CallerLimits limits() {
		return (this.state.config() != null) ? this.state.config().limits() : CallerLimits.DEFAULT;
	}

	boolean isReady() {
		return this.state.isComplete() && !isStopping();
	}

	boolean isStopping() {
		return this.stoppingSinceMillis > 0;
	}

	/**
	 * Tells why no request can be served at present.
	 * @return the reason, or empty when requests are served
	 */
	Optional<String> unavailableReason() {
		if (!this.state.isComplete()) {
			return Optional.of("no configuration");
		}
		return isRefusing() ? Optional.of("stopping") : Optional.empty();
	}

	/**
	 * Tells whether so little time is left that requests are refused: callers have been
	 * led away, and a request that is taken now might be cut off.
	 * @return true shortly before the end
	 */
	private boolean isRefusing() {
		return this.refusingAll || (isStopping() && this.context.now() - this.stoppingSinceMillis > STOP_ACCEPT_MILLIS);
	}

	void stop() {
		this.stoppingSinceMillis = this.context.now();
	}

	/**
	 * Refuses every request from now on.
	 */
	void refuseAll() {
		this.refusingAll = true;
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
	 * Returns how long a caller has probably been trying already: callers who repeat a
	 * request allow it only what is left of their usual time.
	 * @param route the route
	 * @param allowedMillis what the caller allows now
	 * @return the time in milliseconds
	 */
	long elapsedMillis(MeshRoute route, long allowedMillis) {
		if (this.maxTimeoutMillisByRoute.size() >= MAX_TRACKED_ROUTES
				&& !this.maxTimeoutMillisByRoute.containsKey(route.name())) {
			return 0;
		}
		return this.maxTimeoutMillisByRoute.merge(route.name(), allowedMillis, Math::max) - allowedMillis;
	}

	PipelineObjectives pipelineObjectives() {
		return this.pipelineObjectives;
	}

	/**
	 * Selects the service of a request.
	 * @param route its route
	 * @return the service's name
	 */
	String selectService(MeshRoute route) {
		this.draw = (this.draw + DRAW_STEP) % 1;
		return route.selectService(this.draw);
	}

	/**
	 * Chooses a target.
	 * @param route name of the request's route
	 * @param service the service
	 * @param tried identifiers of targets that are passed over
	 * @param objectiveMillis time left until the answer is late
	 * @return the choice, or empty when no target takes requests
	 */
	Optional<TargetChoice> choose(String route, String service, Set<String> tried, long objectiveMillis) {
		return choose(candidates(route, service, tried), objectiveMillis);
	}

	/**
	 * Chooses a second target for a request that takes long.
	 * @param route name of the request's route
	 * @param service the service
	 * @param tried identifiers of targets that are passed over
	 * @param objectiveMillis time left until the answer is late
	 * @return the choice, or empty when no target has room
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
	 * Tells whether {@link #choose} would find a target.
	 * @param route name of the request's route
	 * @param service the service
	 * @param tried identifiers of targets that are passed over
	 * @return true when some target takes requests
	 */
	boolean hasAvailableTarget(String route, String service, Set<String> tried) {
		return candidates(route, service, tried).stream().anyMatch(Candidate::isUp);
	}

	/**
	 * Tells whether a service has targets without a link, to which one may be opened
	 * soon.
	 * @param service the service
	 * @return true when it has
	 */
	boolean hasUnlinkedTarget(String service) {
		return this.state.directory()
			.targetsOf(service)
			.stream()
			.anyMatch((entry) -> !entry.draining() && !isOwnTarget(entry) && this.links.linkTo(entry).isEmpty());
	}

	/**
	 * Opens a call to a target.
	 * @param target the target
	 * @param head the call
	 * @param listener receives the answer
	 * @return where the rest of the call goes; null when the link is no longer open
	 */
	CallHandle open(TargetEntry target, CallHead head, CallListener listener) {
		if (isOwnTarget(target)) {
			return this.home.accept(head, this.context.settings().vm(), listener);
		}
		return this.links.linkTo(target).map((link) -> link.open(head, listener)).orElse(null);
	}

	/**
	 * Notes how long a target took for a request.
	 * @param target identifier of the target
	 * @param route name of the request's route
	 * @param millis the time in milliseconds
	 */
	void recordTargetTime(String target, String route, int millis) {
		this.serviceTimesByTarget.computeIfAbsent(target, (id) -> new ServiceTimes())
			.observe(route, millis, this.context.now());
	}

	/**
	 * Tells whether the target of this VM makes a call while it runs a request. Callers
	 * on this VM have the same address.
	 * @param requestId identifier of what was received
	 * @return true when the target runs the request for which it is made
	 */
	boolean isNestedCall(String requestId) {
		return RequestIds.parent(requestId).filter(this.home::isRunning).isPresent();
	}

	/**
	 * Notes the first send of a request. A call that is made for a repeat counts as one.
	 * @param service the service that it is sent to
	 * @param requestId its identifier
	 */
	void recordFirstSend(String service, String requestId) {
		this.retryBudget.recordRequest(service, this.context.now());
		if (RequestIds.parent(requestId).filter(this.home::isRunningRetry).isPresent()) {
			this.retryBudget.recordProbableRetry(service, 1, this.context.now());
		}
	}

	boolean tryRetry(String service, FleetRetryBudget.Purpose purpose) {
		return this.retryBudget.tryAcquire(service, this.links.estimateNodeCount(), purpose, this.context.now());
	}

	int availableRetries(String service) {
		return this.retryBudget.available(service, this.links.estimateNodeCount(), this.context.now());
	}

	/**
	 * Notes that another target answered at a target's address.
	 * @param target identifier of the target that is not there
	 */
	void recordDisplaced(String target) {
		this.context.log().log(LogEvent.TARGET_DISPLACED, "target", target, "for_ms", DISPLACED_TARGET_MILLIS);
		this.displacedUntilMillis.put(target, this.context.now() + DISPLACED_TARGET_MILLIS);
	}

	/**
	 * Notes that a target died while it ran a request.
	 * @param request the request
	 * @param body its body
	 * @param target identifier of the target
	 */
	void reportCrash(CallerRequest request, RequestBody body, String target) {
		this.links.reportCrash(fingerprint(request, body), target);
	}

	/**
	 * Tells whether a request has crashed too many targets.
	 * @param request the request
	 * @param body its body
	 * @return true when it is to be refused
	 */
	boolean isQuarantined(CallerRequest request, RequestBody body) {
		long now = this.context.now();
		return this.links.quarantine().count(now) > 0
				&& this.links.quarantine().isQuarantined(fingerprint(request, body), now);
	}

	private Digest fingerprint(CallerRequest request, RequestBody body) {
		return request.fingerprint(this.context.settings().service(), body);
	}

	boolean isDisplaced(String target) {
		Long until = this.displacedUntilMillis.get(target);
		return until != null && this.context.now() < until;
	}

	private boolean isOwnTarget(TargetEntry entry) {
		return entry.address().equals(this.context.settings().targetAddress());
	}

	private List<Candidate> candidates(String route, String service, Set<String> tried) {
		List<Candidate> candidates = new ArrayList<>();
		for (TargetEntry entry : this.state.directory().targetsOf(service)) {
			if (!entry.draining() && !tried.contains(entry.id()) && !isDisplaced(entry.id())) {
				toCandidate(entry, route).ifPresent(candidates::add);
			}
		}
		return candidates;
	}

	private Optional<Candidate> toCandidate(TargetEntry entry, String route) {
		boolean near = entry.failureDomain().equals(this.context.settings().failureDomain());
		ServiceTimes observed = this.serviceTimesByTarget.get(entry.id());
		double millis = (observed != null) ? observed.recentMillis(route, this.context.now()) : 0;
		if (isOwnTarget(entry)) {
			return Optional.of(new Candidate(entry.id(), near, this.home.load(), 0, millis, entry.coldMillis(), 0));
		}
		return this.links.linkTo(entry)
			.map((link) -> new Candidate(entry.id(), near, link.load(), link.sentSinceReport(), millis,
					entry.coldMillis(), this.context.now() - link.lastReceivedAtMillis()));
	}

}
