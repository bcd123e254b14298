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
	private static final long TAKING_MILLIS = 2_800;

	/** How long a target is passed over that was not found at its address. */
	private static final long DISPLACED_MILLIS = 3_000;

	/** Routes whose usual time is remembered. */
	private static final int MAX_ROUTES = 2_048;

	private final Fabric fabric;

	private final Home home;

	private final Links links;

	private final Placement placement;

	private final FleetRetryBudget budget;

	private final PipelineObjectives followers = new PipelineObjectives();

	/** Longest time that callers of a route have allowed, in milliseconds. */
	private final Map<String, Long> usualMillis = new HashMap<>();

	/** What this entry has observed of each target, by its identifier. */
	private final Map<String, ServiceTimes> times = new HashMap<>();

	private View view = View.EMPTY;

	/**
	 * Until when each target is passed over, because another one answered in its place.
	 */
	private final Map<String, Long> displaced = new HashMap<>();

	private double draw;

	private int active;

	/** Whether nothing more is taken, since nothing is in progress. */
	private boolean refusing;

	/** When this node was told to stop; 0 before. */
	private long stoppingSince;

	EntryService(Fabric fabric, Home home, Links links) {
		this.fabric = fabric;
		this.home = home;
		this.links = links;
		this.placement = new Placement(fabric.random());
		this.budget = new FleetRetryBudget(fabric.settings().retryRatio(), fabric.settings().retryMinimum(),
				fabric.settings().retryWindowMillis());
		this.draw = fabric.random().nextDouble();
	}

	/**
	 * Takes over the budget of repeats that the settings name.
	 * @param settings the settings
	 */
	void configure(ProxySettings settings) {
		this.budget.setLimits(settings.retryRatio(), settings.retryMinimum(), settings.retryWindowMillis());
	}

	Fabric fabric() {
		return this.fabric;
	}

	View view() {
		return this.view;
	}

	void use(View newest) {
		this.view = newest;
		this.displaced.values().removeIf((until) -> until < this.fabric.now());
		this.times.keySet().removeIf((target) -> newest.directory().find(target).isEmpty());
	}

	CallerLimits limits() {
		return (this.view.config() != null) ? this.view.config().limits() : CallerLimits.DEFAULT;
	}

	boolean isReady() {
		return this.view.isComplete() && !isStopping();
	}

	boolean isStopping() {
		return this.stoppingSince > 0;
	}

	/**
	 * Tells why no request can be served at present.
	 * @return the reason, or empty when requests are served
	 */
	Optional<String> obstacle() {
		if (!this.view.isComplete()) {
			return Optional.of("no configuration");
		}
		return isEnding() ? Optional.of("stopping") : Optional.empty();
	}

	/**
	 * Tells whether so little time is left that requests are refused: callers have been
	 * led away, and a request that is taken now might be cut off.
	 * @return true shortly before the end
	 */
	private boolean isEnding() {
		return this.refusing || (isStopping() && this.fabric.now() - this.stoppingSince > TAKING_MILLIS);
	}

	void stop() {
		this.stoppingSince = this.fabric.now();
	}

	/**
	 * Refuses every request from now on.
	 */
	void refuseAll() {
		this.refusing = true;
	}

	int active() {
		return this.active;
	}

	void began() {
		this.active++;
	}

	void ended() {
		this.active--;
	}

	/**
	 * Returns how long a caller has probably been trying already: callers who repeat a
	 * request allow it only what is left of their usual time.
	 * @param route the route
	 * @param allowedMillis what the caller allows now
	 * @return the time in milliseconds
	 */
	long elapsedMillis(MeshRoute route, long allowedMillis) {
		if (this.usualMillis.size() >= MAX_ROUTES && !this.usualMillis.containsKey(route.name())) {
			return 0;
		}
		return this.usualMillis.merge(route.name(), allowedMillis, Math::max) - allowedMillis;
	}

	PipelineObjectives followers() {
		return this.followers;
	}

	/**
	 * Selects the service of a request.
	 * @param route its route
	 * @return the service's name
	 */
	String service(MeshRoute route) {
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
	Optional<Choice> choose(String route, String service, Set<String> tried, long objectiveMillis) {
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
	Optional<Choice> chooseSecond(String route, String service, Set<String> tried, long objectiveMillis) {
		return choose(candidates(route, service, tried).stream().filter(Hedging::hasCapacity).toList(),
				objectiveMillis);
	}

	private Optional<Choice> choose(List<Candidate> candidates, long objectiveMillis) {
		return this.placement.choose(candidates, objectiveMillis)
			.flatMap((chosen) -> this.view.directory()
				.find(chosen.id())
				.map((target) -> new Choice(target, chosen, candidates)));
	}

	/**
	 * Tells whether {@link #choose} would find a target.
	 * @param route name of the request's route
	 * @param service the service
	 * @param tried identifiers of targets that are passed over
	 * @return true when some target takes requests
	 */
	boolean hasChoice(String route, String service, Set<String> tried) {
		return candidates(route, service, tried).stream().anyMatch(Candidate::isUp);
	}

	/**
	 * Tells whether a service has targets without a link, to which one may be opened
	 * soon.
	 * @param service the service
	 * @return true when it has
	 */
	boolean hasUnlinked(String service) {
		return this.view.directory()
			.targetsOf(service)
			.stream()
			.anyMatch((entry) -> !entry.draining() && !isOwn(entry) && this.links.to(entry).isEmpty());
	}

	/**
	 * Opens a call to a target.
	 * @param target the target
	 * @param head the call
	 * @param sink receives the answer
	 * @return where the rest of the call goes; null when the link is no longer open
	 */
	CallFlow open(TargetEntry target, CallHead head, CallSink sink) {
		if (isOwn(target)) {
			return this.home.accept(head, this.fabric.settings().vm(), sink);
		}
		return this.links.to(target).map((link) -> link.open(head, sink)).orElse(null);
	}

	/**
	 * Notes how long a target took for a request.
	 * @param target identifier of the target
	 * @param route name of the request's route
	 * @param millis the time in milliseconds
	 */
	void observed(String target, String route, int millis) {
		this.times.computeIfAbsent(target, (id) -> new ServiceTimes()).observe(route, millis, this.fabric.now());
	}

	/**
	 * Tells whether the target of this VM makes a call while it runs a request. Callers
	 * on this VM have the same address.
	 * @param requestId identifier of what was received
	 * @return true when the target runs the request for which it is made
	 */
	boolean isCall(String requestId) {
		return RequestIds.parent(requestId).filter(this.home::runs).isPresent();
	}

	/**
	 * Notes the first send of a request. A call that is made for a repeat counts as one.
	 * @param service the service that it is sent to
	 * @param requestId its identifier
	 */
	void firstSend(String service, String requestId) {
		this.budget.recordRequest(service, this.fabric.now());
		if (RequestIds.parent(requestId).filter(this.home::runsRepeat).isPresent()) {
			this.budget.recordProbableRetry(service, 1, this.fabric.now());
		}
	}

	boolean tryRepeat(String service, FleetRetryBudget.Purpose purpose) {
		return this.budget.tryAcquire(service, this.links.nodes(), purpose, this.fabric.now());
	}

	int repeatsLeft(String service) {
		return this.budget.available(service, this.links.nodes(), this.fabric.now());
	}

	/**
	 * Notes that another target answered at a target's address.
	 * @param target identifier of the target that is not there
	 */
	void displaced(String target) {
		this.fabric.log().log(LogEvent.TARGET_DISPLACED, "target", target, "for_ms", DISPLACED_MILLIS);
		this.displaced.put(target, this.fabric.now() + DISPLACED_MILLIS);
	}

	/**
	 * Notes that a target died while it ran a request.
	 * @param request the request
	 * @param body its body
	 * @param target identifier of the target
	 */
	void crashed(CallerRequest request, RequestBody body, String target) {
		this.links.crashed(fingerprint(request, body), target);
	}

	/**
	 * Tells whether a request has crashed too many targets.
	 * @param request the request
	 * @param body its body
	 * @return true when it is to be refused
	 */
	boolean isQuarantined(CallerRequest request, RequestBody body) {
		long now = this.fabric.now();
		return this.links.quarantine().count(now) > 0
				&& this.links.quarantine().isQuarantined(fingerprint(request, body), now);
	}

	private Digest fingerprint(CallerRequest request, RequestBody body) {
		return request.fingerprint(this.fabric.settings().service(), body);
	}

	boolean isDisplaced(String target) {
		Long until = this.displaced.get(target);
		return until != null && this.fabric.now() < until;
	}

	private boolean isOwn(TargetEntry entry) {
		return entry.address().equals(this.fabric.settings().targetAddress());
	}

	private List<Candidate> candidates(String route, String service, Set<String> tried) {
		List<Candidate> candidates = new ArrayList<>();
		for (TargetEntry entry : this.view.directory().targetsOf(service)) {
			if (!entry.draining() && !tried.contains(entry.id()) && !isDisplaced(entry.id())) {
				candidate(entry, route).ifPresent(candidates::add);
			}
		}
		return candidates;
	}

	private Optional<Candidate> candidate(TargetEntry entry, String route) {
		boolean near = entry.failureDomain().equals(this.fabric.settings().failureDomain());
		ServiceTimes observed = this.times.get(entry.id());
		double millis = (observed != null) ? observed.recentMillis(route, this.fabric.now()) : 0;
		if (isOwn(entry)) {
			return Optional.of(new Candidate(entry.id(), near, this.home.load(), 0, millis, entry.coldMillis(), 0));
		}
		return this.links.to(entry)
			.map((link) -> new Candidate(entry.id(), near, link.load(), link.sentSince(), millis, entry.coldMillis(),
					this.fabric.now() - link.lastHeardAt()));
	}

}
