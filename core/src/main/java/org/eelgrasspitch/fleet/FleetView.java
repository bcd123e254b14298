package org.eelgrasspitch.fleet;

import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.text.Version;

/**
 * State of a {@link FleetMember} for status reports.
 *
 * @param lifecycle lifecycle state of the node
 * @param role whether the node reads the platform
 * @param text version of the text held; empty before the first
 * @param floor highest revision of the text known to be held anywhere; 0 when unknown
 * @param vms version of the VM list held; empty before the first
 * @param evidenceAgeMillis age of the evidence, in milliseconds; negative when there is
 * no fresh evidence; the text held is current only if {@code floor} is not above its
 * revision
 * @param rejection the latest rejected text; empty when there is none or a later version
 * was accepted
 * @param peers open links
 */
public record FleetView(LifecycleState lifecycle, RoleState role, Optional<Version> text, long floor,
		Optional<Version> vms, long evidenceAgeMillis, Optional<Rejection> rejection, List<PeerView> peers) {

	/**
	 * State of one open link.
	 *
	 * @param peer the node at the other end
	 * @param outbound true when this node opened the link
	 * @param revision revision of the text that the peer holds; 0 when unknown
	 */
	public record PeerView(Peer peer, boolean outbound, long revision) {

	}

}
