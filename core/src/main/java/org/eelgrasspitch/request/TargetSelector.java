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
 * Chooses the target of a request from what this node has observed itself.
 * <p>
 * Candidates are the service's listed VMs. Those of this node's failure domain go first;
 * others are used when none of the own ones is usable or all of those have as many
 * requests of this node in flight as they have slots. Of two candidates drawn at random
 * the one with the lower expected wait (requests in flight times smoothed latency,
 * divided by the warmth of a new target) is taken, which spreads load without every node
 * running to the same best target.
 * <p>
 * Three failures in a row eject a target for a while that doubles with each ejection. At
 * most half of a service's targets are passed over for that reason; when more are
 * ejected, ejections are ignored. When the VM list calls all of them leaving, that is
 * ignored as well: the last choice is never removed on anybody's word.
 * <p>
 * Not thread-safe; the user provides the lock.
 */
public final class TargetSelector {

	/** How long a target that said it is leaving is passed over, in milliseconds. */
	public static final long LEAVING_EJECTION_MILLIS = 10_000;

	private final String failureDomain;

	private final RandomGenerator random;

	private final Map<String, TargetStats> stats = new HashMap<>();

	/** True until the first list was used; targets of the first list count as warm. */
	private boolean firstList = true;

	/**
	 * Creates a chooser.
	 * @param failureDomain the failure domain of this node
	 * @param random source of randomness
	 */
	public TargetSelector(String failureDomain, RandomGenerator random) {
		this.failureDomain = failureDomain;
		this.random = random;
	}

	/**
	 * Takes over a new VM list: unlisted targets are forgotten, new ones start cold.
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
	 * Chooses a target.
	 * @param service the service
	 * @param candidates the service's VMs
	 * @param tried names of VMs that this request was already sent to
	 * @param now current monotonic time in milliseconds
	 * @return the chosen VM, or empty when every candidate was tried
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
	 * Notes that a request was sent.
	 * @param vm the target's VM
	 * @param now current monotonic time in milliseconds
	 */
	public void onSent(String vm, long now) {
		statsOf(vm, now).onSent();
	}

	/**
	 * Notes that a request ended.
	 * @param vm the target's VM
	 * @param outcome how it ended
	 * @param tookMillis time since it was sent, in milliseconds
	 * @param now current monotonic time in milliseconds
	 */
	public void onEnded(String vm, CallOutcome outcome, long tookMillis, long now) {
		TargetStats target = statsOf(vm, now);
		target.onEnded();
		switch (outcome) {
			case CallOutcome.Answered answered -> target.onAnswered(tookMillis);
			case CallOutcome.Late late -> {
				// Still running: its latency is not known yet.
			}
			case CallOutcome.NotRun notRun -> onNotRun(target, notRun.reason(), now);
			case CallOutcome.Unknown unknown -> target.onFailed(now);
		}
	}

	/**
	 * Returns the targets that are passed over now because of what this node observed.
	 * @param now current monotonic time in milliseconds
	 * @return names of their VMs in alphabetical order
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
				// The target answered properly: its refusal says nothing about its
				// health.
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
