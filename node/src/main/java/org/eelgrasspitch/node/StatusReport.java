package org.eelgrasspitch.node;

import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.fleet.FleetView;
import org.eelgrasspitch.misc.EnumNames;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.text.Version;

/**
 * State of a node, the response of {@code GET /status}. The JSON omits empty lists and
 * absent values. In a report that was read from JSON, an omitted list is null.
 *
 * @param vm name of the VM
 * @param failureDomain failure domain of the VM
 * @param incarnation number that distinguishes this process from earlier ones on the same
 * VM
 * @param state lifecycle state in lower case
 * @param confirmed true if there is fresh evidence; the text held is current only if
 * {@code floor} is not above {@code revision}
 * @param role reader role in lower case
 * @param revision revision of the configuration text held; 0 before the first
 * @param digest digest of the configuration text held; empty before the first
 * @param floor highest revision of the text known to be held anywhere; 0 if unknown
 * @param vmsRevision revision of the VM list held; 0 before the first
 * @param evidenceAgeMillis age of the evidence, in milliseconds; negative if there is no
 * fresh evidence; the text held is current only if {@code floor} is not above
 * {@code revision}
 * @param rejectedRevision revision of the latest rejected text; 0 if none
 * @param rejectedProblems known problems of the rejected text; may be empty
 * @param inFlight number of requests that run on or wait for the target
 * @param records number of records of at-most-once requests
 * @param targetLimit adaptive limit on the requests that run on the target concurrently,
 * which is not applied if the setting {@code guards} is {@code none}; 0 while no text
 * contains the service
 * @param quarantines number of requests, by fingerprint, that are refused because targets
 * died while they ran them
 * @param ejected names of the VMs whose targets are ejected at present, in alphabetical
 * order; they may still be selected if more than half of the candidates are ejected
 * @param peers open links to other nodes
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
	 * @param vm name of the other VM
	 * @param failureDomain failure domain of the other VM
	 * @param outbound true if this node opened the link
	 * @param revision revision of the configuration text that the other node holds; 0 if
	 * unknown
	 */
	public record PeerStatus(String vm, String failureDomain, boolean outbound, long revision) {

	}

}
