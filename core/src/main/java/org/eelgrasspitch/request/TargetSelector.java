package org.eelgrasspitch.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.eelgrasspitch.text.Service;
import org.eelgrasspitch.text.Vm;
import org.eelgrasspitch.text.VmList;

/**
 * Load balancer: selects the target of a request from the statistics that this node has
 * collected itself.
 * <p>
 * Candidates are the VMs listed for the service. VMs in this node's failure domain are
 * preferred; others are considered as well if no local one is usable or every local one
 * has as many requests of this node in flight as it has slots. Of two candidates drawn at
 * random (power of two choices), the one with the lower expected wait is selected:
 * requests in flight times smoothed latency, divided by the warm-up factor of a new
 * target. This spreads load without all nodes converging on the same best target.
 * <p>
 * Outlier ejection: three consecutive failures eject a target for 2 s; until its next
 * response, each further failure after an ejection has ended ejects it again for twice as
 * long, up to 30 s. At most half of the remaining candidates are skipped because of
 * ejections; if more are ejected, ejections are ignored. If the VM list marks all
 * candidates as leaving, that is ignored as well, so that neither rule can leave a
 * request without a target.
 * <p>
 * Not thread-safe; callers must synchronize.
 */
public final class TargetSelector {

	/** Ejection time of a target that reported that it is leaving, in milliseconds. */
	public static final long LEAVING_EJECTION_MILLIS = 10_000;

	private final String failureDomain;

	private final RandomGenerator random;

	private final Map<String, TargetStats> stats = new HashMap<>();

	/**
	 * True before the first VM list and after an empty one; the new targets of the next
	 * list count as warm.
	 */
	private boolean firstList = true;

	/**
	 * Creates a selector without targets.
	 * @param failureDomain the failure domain of this node
	 * @param random source of randomness
	 */
	public TargetSelector(String failureDomain, RandomGenerator random) {
		this.failureDomain = failureDomain;
		this.random = random;
	}

	/**
	 * Applies a new VM list: drops the statistics of targets that are no longer listed
	 * and have no request in flight, and adds new targets, which start cold unless this
	 * is the first list or follows an empty one.
	 * @param list the list
	 * @param now current monotonic time in milliseconds
	 */
	public void update(VmList list, long now) {
		this.stats.keySet().removeIf((name) -> list.vm(name).isEmpty() && this.stats.get(name).inFlight() == 0);
		long firstSeenAt = this.firstList ? now - Integer.MAX_VALUE : now;
		list.vms().forEach((vm) -> this.stats.computeIfAbsent(vm.name(), (name) -> new TargetStats(firstSeenAt)));
		this.firstList = list.vms().isEmpty();
	}

	/**
	 * Selects a target.
	 * @param service the service
	 * @param candidates the VMs listed for the service
	 * @param tried names of VMs that this request was already sent to
	 * @param now current monotonic time in milliseconds
	 * @return the selected VM, or empty if every candidate was tried
	 */
	public Optional<Vm> select(Service service, List<Vm> candidates, Set<String> tried, long now) {
		List<Vm> untried = candidates.stream().filter((vm) -> !tried.contains(vm.name())).toList();
		List<Vm> usable = usable(untried, now);
		List<Vm> local = usable.stream().filter((vm) -> vm.failureDomain().equals(this.failureDomain)).toList();
		boolean localHasFreeSlot = local.stream()
			.anyMatch((vm) -> statsOf(vm.name(), now).inFlight() < service.slots());
		List<Vm> eligible = localHasFreeSlot ? local : usable;
		if (eligible.isEmpty()) {
			return Optional.empty();
		}
		Vm firstDraw = eligible.get(this.random.nextInt(eligible.size()));
		Vm secondDraw = eligible.get(this.random.nextInt(eligible.size()));
		return Optional.of((expectedWait(service, firstDraw, now) <= expectedWait(service, secondDraw, now)) ? firstDraw
				: secondDraw);
	}

	/**
	 * Records that a request was sent.
	 * @param vm the target's VM
	 * @param now current monotonic time in milliseconds
	 */
	public void onSent(String vm, long now) {
		statsOf(vm, now).onSent();
	}

	/**
	 * Records the end of a request.
	 * @param vm the target's VM
	 * @param outcome its outcome
	 * @param tookMillis time since it was sent, in milliseconds
	 * @param now current monotonic time in milliseconds
	 */
	public void onEnded(String vm, CallOutcome outcome, long tookMillis, long now) {
		TargetStats target = statsOf(vm, now);
		target.onEnded();
		switch (outcome) {
			case CallOutcome.Answered answered -> target.onAnswered(tookMillis);
			case CallOutcome.Late late -> {
				// The request is still running, so its latency is not known.
			}
			case CallOutcome.NotRun notRun -> onNotRun(target, notRun.reason(), now);
			case CallOutcome.Unknown unknown -> target.onFailed(now);
		}
	}

	/**
	 * Records that a request was cancelled because its caller has left. That says nothing
	 * about the health of the target.
	 * @param vm name of the target's VM
	 * @param now current monotonic time in milliseconds
	 */
	public void onAbandoned(String vm, long now) {
		statsOf(vm, now).onEnded();
	}

	/**
	 * Returns the targets that are currently ejected.
	 * @param now current monotonic time in milliseconds
	 * @return names of their VMs in alphabetical order; may be empty
	 */
	public List<String> ejected(long now) {
		return this.stats.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isEjected(now))
			.map(Map.Entry::getKey)
			.sorted()
			.toList();
	}

	private void onNotRun(TargetStats target, Reason reason, long now) {
		switch (reason) {
			case LEAVING -> target.eject(now, LEAVING_EJECTION_MILLIS);
			case HOME_UNREACHABLE, TARGET_UNREACHABLE, NOT_READY, NO_ROUTE -> target.onFailed(now);
			default -> {
				// Other reasons say nothing about the target's health.
			}
		}
	}

	private List<Vm> usable(List<Vm> vms, long now) {
		List<Vm> staying = filterUnlessFewer(1, vms, (vm) -> !vm.leaving());
		return filterUnlessFewer((staying.size() + 1) / 2, staying, (vm) -> !statsOf(vm.name(), now).isEjected(now));
	}

	private static List<Vm> filterUnlessFewer(int minimum, List<Vm> vms, Predicate<Vm> condition) {
		List<Vm> kept = vms.stream().filter(condition).toList();
		return (kept.size() >= minimum) ? kept : vms;
	}

	private double expectedWait(Service service, Vm vm, long now) {
		return statsOf(vm.name(), now).expectedWait(service.coldStartMillis(), now);
	}

	private TargetStats statsOf(String vm, long now) {
		return this.stats.computeIfAbsent(vm, (name) -> new TargetStats(now));
	}

}
