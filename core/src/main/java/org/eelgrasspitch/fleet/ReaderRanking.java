package org.eelgrasspitch.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.eelgrasspitch.misc.RendezvousHash;
import org.eelgrasspitch.text.Vm;
import org.eelgrasspitch.text.VmList;

/**
 * Selects the readers of each failure domain: the first {@link #READERS} VMs in the
 * rendezvous hash ranking for the failure domain's name that are not known to be
 * unusable. There is no election; at worst an outdated or wrong VM list causes duplicate
 * reads. When every VM is considered unusable, the first {@link #READERS} of the ranking
 * are selected regardless.
 */
final class ReaderRanking {

	/** Number of readers in each failure domain. */
	static final int READERS = 2;

	/**
	 * Number of top-ranked VMs in each failure domain that may call the platform at a
	 * reader's rate.
	 */
	static final int CANDIDATES = 2 * READERS;

	/** The current VM list. */
	private VmList vms = VmList.EMPTY;

	/** Cached rankings of {@link #vms} by failure domain. */
	private final Map<String, List<Vm>> rankings = new HashMap<>();

	void update(VmList latest) {
		this.vms = latest;
		this.rankings.clear();
	}

	VmList vms() {
		return this.vms;
	}

	List<Vm> readers(String failureDomain, Predicate<Vm> usable) {
		List<Vm> ranking = ranking(failureDomain);
		List<Vm> readers = ranking.stream().filter(usable).limit(READERS).toList();
		return readers.isEmpty() ? ranking.stream().limit(READERS).toList() : readers;
	}

	boolean isCandidate(String failureDomain, String vm) {
		return ranking(failureDomain).stream().limit(CANDIDATES).anyMatch((ranked) -> ranked.name().equals(vm));
	}

	private List<Vm> ranking(String failureDomain) {
		return this.rankings.computeIfAbsent(failureDomain,
				(name) -> RendezvousHash.rank(name, this.vms.ofFailureDomain(name), Vm::name));
	}

}
