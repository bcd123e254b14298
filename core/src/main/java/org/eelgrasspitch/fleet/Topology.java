package org.eelgrasspitch.fleet;

import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.eelgrasspitch.chart.StateChart;
import org.eelgrasspitch.chart.Transition;
import org.eelgrasspitch.misc.RendezvousHash;
import org.eelgrasspitch.text.Vm;
import org.eelgrasspitch.text.VmList;

/**
 * Decides whether this node is a reader, to which nodes it keeps links, and how often it
 * may call the platform. The VM list is only a hint: a VM that this node could not reach
 * or that reported that it is leaving is skipped even if it is listed as live.
 * <p>
 * A follower without a status from any peer for a while reads the platform itself, with
 * jittered backoff between reads, until a peer sends its status again.
 */
final class Topology {

	private static final int MAX_STARTUP_PEERS = 2;

	private static final Backoff SELF_CHECK_BACKOFF = new Backoff(1_000, 10_000);

	private final FleetSettings settings;

	private final RandomGenerator random;

	private final LinkTable links;

	private final ReaderRanking ranking = new ReaderRanking();

	private final StateChart<RoleState, RoleEvent, RoleAction> chart = StateChart.load("reader-role", RoleState.class,
			RoleEvent.class, RoleAction.class);

	private RoleState role = this.chart.initial();

	/** True once this node refuses new requests; it is then no longer a reader. */
	private boolean leaving;

	/** Earliest time of the next self-check, in monotonic milliseconds. */
	private long selfCheckAt;

	/** Number of self-checks since a peer last sent its status. */
	private int selfChecks;

	Topology(FleetSettings settings, RandomGenerator random, LinkTable links, long now) {
		this.settings = settings;
		this.random = random;
		this.links = links;
		this.selfCheckAt = now + (settings.seeds().isEmpty() ? 0 : settings.startMillis() / 3);
	}

	RoleState role() {
		return this.role;
	}

	boolean isPolling() {
		return this.settings.distribution() == Distribution.POLL;
	}

	void update(VmList list) {
		this.ranking.update(list);
	}

	void leave() {
		this.leaving = true;
	}

	/**
	 * Fires the events of the role chart that follow from the ranking and the links.
	 * @param now current monotonic time in milliseconds
	 * @return the actions to perform, in order
	 */
	List<RoleAction> evaluateRole(long now) {
		boolean rankedIn = isPolling() || isReaderByRank(now);
		Optional<List<RoleAction>> ranked = fire(rankedIn ? RoleEvent.RANKED_IN : RoleEvent.RANKED_OUT);
		if (ranked.isPresent()) {
			return ranked.get();
		}
		if (this.links.outbound().stream().anyMatch((link) -> link.status().isPresent())) {
			this.selfChecks = 0;
			this.selfCheckAt = now + this.settings.silenceMillis();
			return fire(RoleEvent.HEARD).orElse(List.of());
		}
		if (now < this.selfCheckAt) {
			return List.of();
		}
		this.selfChecks++;
		this.selfCheckAt = now + 1 + SELF_CHECK_BACKOFF.delayMillis(this.selfChecks, this.random);
		return fire(RoleEvent.NOTHING_HEARD).orElse(List.of());
	}

	/**
	 * Tells whether this node is a reader and another usable reader of its failure domain
	 * has a higher rank.
	 * @param now current monotonic time in milliseconds
	 * @return true when the other reader watches the text for both
	 */
	boolean isStandby(long now) {
		return this.role == RoleState.READER && !isPolling()
				&& !readers(self().failureDomain(), now).get(0).name().equals(self().vm());
	}

	/**
	 * Computes the addresses to which this node should keep links.
	 * @param starting true while peers must be asked before the first text is accepted
	 * @param now current monotonic time in milliseconds
	 * @return the addresses, without this node's own; empty when every node polls the
	 * platform
	 */
	Set<InetSocketAddress> desiredAddresses(boolean starting, long now) {
		Set<InetSocketAddress> addresses = new LinkedHashSet<>();
		if (isPolling()) {
			return addresses;
		}
		if (starting || this.ranking.vms().vms().isEmpty()) {
			addresses.addAll(this.settings.seeds());
		}
		readers(self().failureDomain(), now).forEach((vm) -> addresses.add(vm.address()));
		if (this.role == RoleState.READER) {
			this.ranking.vms()
				.failureDomains()
				.forEach((name) -> readers(name, now).stream().limit(1).forEach((vm) -> addresses.add(vm.address())));
		}
		if (starting) {
			startupPeers().forEach((vm) -> addresses.add(vm.address()));
		}
		addresses.remove(self().address());
		return addresses;
	}

	/**
	 * Computes this node's part of the fleet's rate limit for platform calls: half of the
	 * limit is divided among the reader candidates, the other half among all nodes.
	 * @return calls per second
	 */
	double platformCallsPerSecond() {
		VmList list = this.ranking.vms();
		double halfLimit = this.settings.platformCallsPerSecond() / 2;
		if (this.ranking.isCandidate(self().failureDomain(), self().vm())) {
			return halfLimit / (ReaderRanking.CANDIDATES * Math.max(1, list.failureDomains().size()));
		}
		return halfLimit / Math.max(1, list.vms().size());
	}

	private Optional<List<RoleAction>> fire(RoleEvent event) {
		Optional<Transition<RoleState, RoleAction>> transition = this.chart.next(this.role, event);
		transition.ifPresent((taken) -> this.role = taken.nextState());
		return transition.map(Transition::actions);
	}

	private boolean isReaderByRank(long now) {
		return readers(self().failureDomain(), now).stream().anyMatch((vm) -> vm.name().equals(self().vm()));
	}

	private List<Vm> readers(String failureDomain, long now) {
		return this.ranking.readers(failureDomain, (vm) -> isUsable(vm, now));
	}

	private boolean isUsable(Vm vm, long now) {
		if (vm.name().equals(self().vm())) {
			return !this.leaving;
		}
		return !this.links.isSuspected(vm.address(), now) && !vm.leaving() && !this.links.isLeaving(vm.name());
	}

	/**
	 * Returns additional VMs of the failure domain to ask during startup. The VMs are
	 * ranked by this node's name, so that the load spreads over the failure domain.
	 */
	private List<Vm> startupPeers() {
		List<Vm> candidates = this.ranking.vms().ofFailureDomain(self().failureDomain());
		return RendezvousHash.rank(self().vm(), candidates, Vm::name)
			.stream()
			.filter((vm) -> !vm.name().equals(self().vm()))
			.limit(MAX_STARTUP_PEERS)
			.toList();
	}

	private Peer self() {
		return this.settings.self();
	}

}
