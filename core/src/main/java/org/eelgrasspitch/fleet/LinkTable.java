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
 * The open links of a {@link FleetMember}, the dials in progress, and the addresses that
 * are suspected. {@link #reconcile} opens what is wanted and missing and closes what is
 * no longer wanted.
 */
final class LinkTable {

	private final Map<Long, Link> links = new LinkedHashMap<>();

	/** Addresses being dialled. */
	private final Set<InetSocketAddress> dialling = new HashSet<>();

	private final SuspectedAddresses suspected;

	LinkTable(RandomGenerator random) {
		this.suspected = new SuspectedAddresses(random);
	}

	void opened(FleetEvent.LinkOpened opened, long now) {
		this.links.put(opened.link(), new Link(opened, now));
		this.suspected.clear(opened.peer().address());
		if (opened.outbound()) {
			this.dialling.remove(opened.dialled());
			this.suspected.clear(opened.dialled());
		}
	}

	void failed(InetSocketAddress dialled, long now) {
		this.dialling.remove(dialled);
		this.suspected.suspect(dialled, now);
	}

	/**
	 * Forgets a link; an outbound one that broke makes its address suspected.
	 */
	Optional<Link> closed(long id, long now) {
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
	 * Tells whether every dial ended and every outbound link has said what it holds.
	 */
	boolean isSettled() {
		return this.dialling.isEmpty() && outbound().stream().allMatch((link) -> link.status().isPresent());
	}

	/**
	 * Returns the link to ask for a document: of those whose peer holds a revision above
	 * a bound the one with the fewest questions left unanswered, then the one with the
	 * highest revision. A peer may be heard and not hear.
	 */
	Optional<Link> bestSource(Channel channel, long aboveRevision) {
		return this.links.values()
			.stream()
			.filter((link) -> link.revision(channel) > aboveRevision)
			.min(Comparator.comparingInt(Link::unansweredPulls)
				.thenComparing(Comparator.comparingLong((Link link) -> link.revision(channel)).reversed()));
	}

	/**
	 * Forgets all suspicions and counts every link as just heard. To be called after a
	 * pause, when silence was our own.
	 */
	void resetAfterPause(long now) {
		this.suspected.clearAll();
		this.links.values().forEach((link) -> link.touch(now));
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
		missing.removeAll(this.dialling);
		missing.removeIf((address) -> this.suspected.isSuspected(address, now));
		for (InetSocketAddress address : missing) {
			this.dialling.add(address);
			effects.add(new FleetEffect.OpenLink(address));
		}
		return effects;
	}

	/**
	 * Drops links whose peer should have spoken.
	 */
	List<Link> dropSilent(long now, long outboundMillis, long inboundMillis) {
		List<Link> silent = this.links.values()
			.stream()
			.filter((link) -> link.isSilent(now, link.isOutbound() ? outboundMillis : inboundMillis))
			.toList();
		silent.forEach((link) -> closed(link.id(), now));
		return silent;
	}

}
