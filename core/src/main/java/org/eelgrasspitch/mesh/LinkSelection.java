package org.eelgrasspitch.mesh;

import java.net.InetAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.eelgrasspitch.misc.RendezvousHash;

/**
 * Selects the peers to which a node keeps links, so that the number of links does not
 * grow with the fleet.
 * <p>
 * A node keeps a link to every peer of its own failure domain, because placement prefers
 * near targets and documents are passed on within a failure domain. Of each other failure
 * domain it keeps links to a few targets of each service, together at least
 * {@link #FAR_TARGETS_PER_SERVICE} for a service that has as many. Placement compares no
 * more than that number of far targets for a request, so further links would only cost
 * heartbeats. Rendezvous hashing with the node's own name as the key gives every node
 * another subset, so each far target is in about the same number of subsets, and a target
 * that appears or disappears changes only the subsets that contain it.
 * <p>
 * A peer that cannot be reached stays selected, so that it is noticed when it returns,
 * but the next one in the ranking is selected in addition. When a failure domain is cut
 * off, the search there ends after {@link #MAX_REPLACEMENTS} unreachable peers for each
 * service, since further ones are likely to be unreachable too.
 * <p>
 * Example: with 95 VMs in 5 failure domains and 4 services, a node has 18 near peers and
 * selects one target of each service in each of 4 other failure domains, 34 links instead
 * of 94. With 930 VMs in 8 failure domains and 26 services, it selects 115 near peers and
 * at most 182 far ones.
 */
public final class LinkSelection {

	/**
	 * Minimum number of far targets with a link for each service, if there are as many.
	 */
	static final int FAR_TARGETS_PER_SERVICE = 4;

	/**
	 * Maximum number of unreachable targets of a service in a failure domain that are
	 * replaced by others.
	 */
	static final int MAX_REPLACEMENTS = 3;

	private final String ownName;

	private final String ownFailureDomain;

	/**
	 * Creates a selection.
	 * @param ownName name of this node's VM, the key of the ranking
	 * @param ownFailureDomain failure domain of this node
	 */
	public LinkSelection(String ownName, String ownFailureDomain) {
		this.ownName = ownName;
		this.ownFailureDomain = ownFailureDomain;
	}

	/**
	 * Selects the peers.
	 * @param targets the known targets
	 * @param unreachable returns whether the node at an address could not be reached for
	 * some time
	 * @return addresses of the selected peers; this node's own may be among them
	 */
	public Set<InetAddress> select(Collection<TargetEntry> targets, Predicate<InetAddress> unreachable) {
		Set<InetAddress> selected = new LinkedHashSet<>();
		Map<String, Map<String, Set<InetAddress>>> farPeers = new TreeMap<>();
		for (TargetEntry target : targets) {
			InetAddress peer = target.address().getAddress();
			if (target.failureDomain().equals(this.ownFailureDomain)) {
				selected.add(peer);
				continue;
			}
			farPeers.computeIfAbsent(target.service(), (service) -> new HashMap<>())
				.computeIfAbsent(target.failureDomain(), (failureDomain) -> new LinkedHashSet<>())
				.add(peer);
		}
		for (Map<String, Set<InetAddress>> byFailureDomain : farPeers.values()) {
			int quota = Math.ceilDiv(FAR_TARGETS_PER_SERVICE, byFailureDomain.size());
			byFailureDomain.values().forEach((peers) -> selected.addAll(first(quota, peers, unreachable)));
		}
		return selected;
	}

	private Set<InetAddress> first(int quota, Set<InetAddress> peers, Predicate<InetAddress> unreachable) {
		Set<InetAddress> chosen = new LinkedHashSet<>();
		List<InetAddress> ranking = RendezvousHash.rank(this.ownName, peers, InetAddress::getHostAddress);
		int reachableCount = 0;
		for (InetAddress peer : ranking) {
			if (reachableCount == quota || chosen.size() == quota + MAX_REPLACEMENTS) {
				break;
			}
			chosen.add(peer);
			reachableCount += unreachable.test(peer) ? 0 : 1;
		}
		return chosen;
	}

}
