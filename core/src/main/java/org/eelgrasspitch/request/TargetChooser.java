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
public final class TargetChooser {

	/** How long a target that said it is leaving is passed over, in milliseconds. */
	public static final long LEAVING_MILLIS = 10_000;

	private final String failureDomain;

	private final RandomGenerator random;

	private final Map<String, TargetStats> stats = new HashMap<>();

	/** True until the first list was used; targets of the first list count as warm. */
	private boolean first = true;

	/**
	 * Creates a chooser.
	 * @param failureDomain the failure domain of this node
	 * @param random source of randomness
	 */
	public TargetChooser(String failureDomain, RandomGenerator random) {
		this.failureDomain = failureDomain;
		this.random = random;
	}

	/**
	 * Takes over a new VM list: unlisted targets are forgotten, new ones start cold.
	 * @param list the list
	 * @param now current monotonic time in milliseconds
	 */
	public void use(VmList list, long now) {
		this.stats.keySet().removeIf((name) -> list.vm(name).isEmpty() && this.stats.get(name).inFlight() == 0);
		long seenAt = this.first ? now - Integer.MAX_VALUE : now;
		list.vms().forEach((vm) -> this.stats.computeIfAbsent(vm.name(), (name) -> new TargetStats(seenAt)));
		this.first = list.vms().isEmpty();
	}

	/**
	 * Chooses a target.
	 * @param service the service
	 * @param candidates the service's VMs
	 * @param tried names of VMs that this request was already sent to
	 * @param now current monotonic time in milliseconds
	 * @return the chosen VM, or empty when every candidate was tried
	 */
	public Optional<Vm> choose(Service service, List<Vm> candidates, Set<String> tried, long now) {
		List<Vm> untried = candidates.stream().filter((vm) -> !tried.contains(vm.name())).toList();
		List<Vm> usable = usable(untried, now);
		List<Vm> own = usable.stream().filter((vm) -> vm.failureDomain().equals(this.failureDomain)).toList();
		boolean room = own.stream().anyMatch((vm) -> of(vm.name(), now).inFlight() < service.slots());
		List<Vm> pool = room ? own : usable;
		if (pool.isEmpty()) {
			return Optional.empty();
		}
		Vm left = pool.get(this.random.nextInt(pool.size()));
		Vm right = pool.get(this.random.nextInt(pool.size()));
		return Optional.of((score(service, left, now) <= score(service, right, now)) ? left : right);
	}

	/**
	 * Notes that a request was sent.
	 * @param vm the target's VM
	 * @param now current monotonic time in milliseconds
	 */
	public void started(String vm, long now) {
		of(vm, now).started();
	}

	/**
	 * Notes that a request ended.
	 * @param vm the target's VM
	 * @param outcome how it ended
	 * @param tookMillis time since it was sent, in milliseconds
	 * @param now current monotonic time in milliseconds
	 */
	public void ended(String vm, CallOutcome outcome, long tookMillis, long now) {
		TargetStats target = of(vm, now);
		target.ended();
		switch (outcome) {
			case CallOutcome.Answered answered -> target.answered(tookMillis);
			case CallOutcome.Late late -> {
				// Still running: its latency is not known yet.
			}
			case CallOutcome.NotRun notRun -> refused(target, notRun.reason(), now);
			case CallOutcome.Unknown unknown -> target.failed(now);
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

	private void refused(TargetStats target, Reason reason, long now) {
		switch (reason) {
			case LEAVING -> target.eject(now, LEAVING_MILLIS);
			case HOME_UNREACHABLE, TARGET_UNREACHABLE, NOT_READY, NO_ROUTE -> target.failed(now);
			default -> {
				// The target answered properly: its refusal says nothing about its
				// health.
			}
		}
	}

	private List<Vm> usable(List<Vm> vms, long now) {
		List<Vm> staying = atLeast(1, vms, (vm) -> !vm.leaving());
		return atLeast((staying.size() + 1) / 2, staying, (vm) -> !of(vm.name(), now).isEjected(now));
	}

	private static List<Vm> atLeast(int count, List<Vm> vms, Predicate<Vm> condition) {
		List<Vm> kept = vms.stream().filter(condition).toList();
		return (kept.size() >= count) ? kept : vms;
	}

	private double score(Service service, Vm vm, long now) {
		return of(vm.name(), now).score(service.coldStartMillis(), now);
	}

	private TargetStats of(String vm, long now) {
		return this.stats.computeIfAbsent(vm, (name) -> new TargetStats(now));
	}

}
