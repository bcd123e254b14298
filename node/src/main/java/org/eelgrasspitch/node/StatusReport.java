package org.eelgrasspitch.node;

import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.fleet.FleetView;
import org.eelgrasspitch.misc.EnumNames;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.text.Version;

/**
 * A node's state as the operators' port shows it in JSON.
 *
 * @param vm the VM's name
 * @param failureDomain its failure domain
 * @param incarnation the process
 * @param state life state in lower case
 * @param confirmed true when the text is known to be current
 * @param role reader role in lower case
 * @param revision revision of the text held; 0 before the first
 * @param digest digest of the text held; empty before the first
 * @param floor highest revision known to be held anywhere
 * @param vmsRevision revision of the VM list held; 0 before the first
 * @param evidenceAgeMillis age of the evidence that the text is current; negative when
 * none
 * @param rejectedRevision latest rejected revision; 0 when none
 * @param rejectedProblems what is wrong with it, as far as known here
 * @param inFlight requests that run or wait here
 * @param records records of at-most-once requests
 * @param targetLimit requests that may run on this node's target at a time
 * @param quarantines requests that are refused because targets broke off on them
 * @param ejected names of VMs whose targets this node passes over for now
 * @param peers open links
 */
public record StatusReport(String vm, String failureDomain, long incarnation, String state, boolean confirmed,
		String role, long revision, Optional<String> digest, long floor, long vmsRevision, long evidenceAgeMillis,
		long rejectedRevision, List<String> rejectedProblems, int inFlight, int records, int targetLimit,
		int quarantines, List<String> ejected, List<PeerStatus> peers) {

	static StatusReport of(NodeContext context, FleetView view, HomeService home, EntryService entry) {
		List<PeerStatus> peers = view.peers()
			.stream()
			.map((peer) -> new PeerStatus(peer.peer().vm(), peer.peer().failureDomain(), peer.outbound(),
					peer.revision()))
			.toList();
		List<String> problems = view.rejection()
			.map((rejection) -> rejection.problems().stream().map(Problem::toString).toList())
			.orElse(List.of());
		return new StatusReport(context.settings().vm(), context.settings().failureDomain(), context.incarnation(),
				EnumNames.lowerCase(view.lifecycle()), view.evidenceAgeMillis() >= 0, EnumNames.lowerCase(view.role()),
				revision(view.text()), view.text().map((version) -> version.digest().hex()), view.floor(),
				revision(view.vms()), view.evidenceAgeMillis(),
				view.rejection().map((rejection) -> rejection.revision()).orElse(0L), problems, home.inFlight(),
				home.recordCount(), home.targetLimit(), home.quarantineCount(), entry.ejected(), peers);
	}

	private static long revision(Optional<Version> version) {
		return version.map(Version::revision).orElse(0L);
	}

	/**
	 * One open link.
	 *
	 * @param vm the other VM's name
	 * @param failureDomain its failure domain
	 * @param outbound true when this node opened the link
	 * @param revision revision of the text that it holds
	 */
	public record PeerStatus(String vm, String failureDomain, boolean outbound, long revision) {

	}

}
