package org.eelgrasspitch.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.eelgrasspitch.text.Channel;

/**
 * The open links of a {@link FleetMember}, the connection attempts in progress and the
 * suspected addresses. {@link #reconcile} opens missing links and closes outbound links
 * that are no longer desired.
 */
final class LinkTable {

	private final Map<Long, Link> links = new LinkedHashMap<>();

	/** Addresses of connection attempts in progress. */
	private final Set<InetSocketAddress> connecting = new HashSet<>();

	private final SuspectedAddresses suspected;

	LinkTable(RandomGenerator random) {
		this.suspected = new SuspectedAddresses(random);
	}

	void add(FleetEvent.LinkOpened opened, long now) {
		this.links.put(opened.link(), new Link(opened, now));
		this.suspected.clear(opened.peer().address());
		if (opened.outbound()) {
			this.connecting.remove(opened.dialled());
			this.suspected.clear(opened.dialled());
		}
	}

	void connectFailed(InetSocketAddress dialled, long now) {
		this.connecting.remove(dialled);
		this.suspected.suspect(dialled, now);
	}

	/**
	 * Removes a link. The address of an outbound link becomes suspected.
	 */
	Optional<Link> remove(long id, long now) {
		Link link = this.links.remove(id);
		if (link != null && link.isOutbound()) {
			this.suspected.suspect(link.dialled(), now);
		}
		return Optional.ofNullable(link);
	}

	Optional<Link> link(long id) {
		return Optional.ofNullable(this.links.get(id));
	}

	Collection<Link> all() {
		return this.links.values();
	}

	List<Link> outbound() {
		return this.links.values().stream().filter(Link::isOutbound).toList();
	}

	boolean isSuspected(InetSocketAddress address, long now) {
		return this.suspected.isSuspected(address, now);
	}

	boolean isLeaving(String vm) {
		return this.links.values()
			.stream()
			.anyMatch((link) -> link.peer().vm().equals(vm)
					&& link.status().map(PeerMessage.Status::leaving).orElse(false));
	}

	/**
	 * Tells whether no connection attempt is in progress and the peer of every outbound
	 * link has sent its status.
	 */
	boolean isSettled() {
		return this.connecting.isEmpty() && outbound().stream().allMatch((link) -> link.status().isPresent());
	}

	/**
	 * Returns the link to pull a document from: among the peers that hold a later
	 * revision, the one with the fewest unanswered pulls, then the one with the highest
	 * revision. Unanswered pulls count first because a link may fail in one direction
	 * only, so that a peer sends heartbeats but receives nothing.
	 */
	Optional<Link> bestSource(Channel channel, long aboveRevision) {
		return this.links.values()
			.stream()
			.filter((link) -> link.revision(channel) > aboveRevision)
			.min(Comparator.comparingInt(Link::unansweredPulls)
				.thenComparing(Comparator.comparingLong((Link link) -> link.revision(channel)).reversed()));
	}

	/**
	 * Clears all suspicions and restarts the silence timeout of every link. To be called
	 * after a pause, when the silence was caused by this process.
	 */
	void resetAfterPause(long now) {
		this.suspected.clearAll();
		this.links.values().forEach((link) -> link.markReceived(now));
	}

	List<FleetEffect> reconcile(Set<InetSocketAddress> desired, long now) {
		List<FleetEffect> effects = new ArrayList<>();
		Set<InetSocketAddress> missing = new LinkedHashSet<>(desired);
		for (Link link : outbound()) {
			if (!missing.remove(link.dialled()) && !desired.contains(link.peer().address())) {
				this.links.remove(link.id());
				effects.add(new FleetEffect.CloseLink(link.id()));
			}
		}
		missing.removeAll(this.connecting);
		missing.removeIf((address) -> this.suspected.isSuspected(address, now));
		for (InetSocketAddress address : missing) {
			this.connecting.add(address);
			effects.add(new FleetEffect.OpenLink(address));
		}
		return effects;
	}

	/**
	 * Removes and returns the links whose peer exceeded the silence timeout.
	 */
	List<Link> dropSilent(long now, long outboundMillis, long inboundMillis) {
		List<Link> silent = this.links.values()
			.stream()
			.filter((link) -> link.isSilent(now, link.isOutbound() ? outboundMillis : inboundMillis))
			.toList();
		silent.forEach((link) -> remove(link.id(), now));
		return silent;
	}

}
