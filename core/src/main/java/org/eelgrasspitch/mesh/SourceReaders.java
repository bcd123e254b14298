package org.eelgrasspitch.mesh;

import java.util.Collection;
import java.util.Comparator;

import org.eelgrasspitch.misc.RendezvousHash;

/**
 * Decides whether a node reads the source of published documents itself or receives them
 * from a reader in its failure domain.
 * <p>
 * Load pattern: every change is delivered to every node that watches the source. With a
 * watch for each node, one configuration of 1,600 routes is sent as often as there are
 * VMs, each time over a thin link, and the number of calls to the source grows with the
 * fleet.
 * <p>
 * The nodes of a failure domain rank each other by the capacity of their links, then by
 * rendezvous hash. A node reads unless a peer that ranks before it reports that the
 * source answers it. There is no election: a node that has just started, or is cut off
 * from its peers, hears of no reader and reads. When the source stops answering the
 * reader, or the reader becomes silent, the nodes behind it start in the order of their
 * ranks, {@link #TAKEOVER_INTERVAL_MILLIS} apart, until the source answers one of them.
 * After {@link #MAX_PROMPT_TAKEOVERS} failures the others follow more slowly. A reader
 * behind another one stops only after the other has been served for
 * {@link #HANDOVER_MILLIS}, so a source that answers a node now and then causes few
 * changes.
 * <p>
 * Only a reader without a better one sends what it reads to the others
 * ({@link #isLeading()}). A node that has just started reads until it hears of a better
 * reader and for {@link #HANDOVER_MILLIS} more, longer while it is short of processor
 * time. If all of these sent each configuration to their whole failure domain, a release
 * that starts many nodes would fill their links, and requests would wait behind documents
 * that everybody has.
 * <p>
 * Example: the source refuses the node that ranks first. It reports this, the second
 * starts at once, the others stay followers of the second. The first one keeps trying;
 * once it is served again, the second stops.
 * <p>
 * Not thread-safe; callers must synchronize.
 */
public final class SourceReaders {

	/** Time between the starts of two nodes that follow each other in the ranking. */
	static final long TAKEOVER_INTERVAL_MILLIS = 300;

	/**
	 * Time for which a node of a better rank must have been served before this node stops
	 * reading.
	 */
	static final long HANDOVER_MILLIS = 1_000;

	/**
	 * Number of better-ranked nodes without success after which the next one starts only
	 * every {@link #OUTAGE_INTERVAL_MILLIS}, because the source is probably down for all.
	 */
	static final int MAX_PROMPT_TAKEOVERS = 2;

	/** Time between the starts of two nodes while the source is probably down. */
	static final long OUTAGE_INTERVAL_MILLIS = 1_000;

	/** Value of {@link #servedSinceMillis} and {@link #unservedSinceMillis} if unset. */
	private static final long UNSET = Long.MIN_VALUE;

	private final Peer self;

	/** Whether this node reads the source. */
	private boolean reading = true;

	/** Time since which a node of a better rank is served; unset if there is none. */
	private long servedSinceMillis = UNSET;

	/** Time since which no node of a better rank is served; unset if there is one. */
	private long unservedSinceMillis = UNSET;

	/**
	 * Creates the decision for a node, which reads at first.
	 * @param name name of this node's VM
	 * @param capacity capacity of its link, in megabits per second
	 */
	public SourceReaders(String name, int capacity) {
		this.self = new Peer(name, capacity, Report.NONE);
	}

	/**
	 * Returns whether this node reads the source.
	 * @return the latest decision
	 */
	public boolean isReading() {
		return this.reading;
	}

	/**
	 * Returns whether this node sends what it reads to the other nodes.
	 * @return true if it reads, unless the source answers a node of a better rank
	 */
	public boolean isLeading() {
		return this.reading && this.servedSinceMillis == UNSET;
	}

	/**
	 * Decides again.
	 * @param nearPeers peers of the same failure domain that were heard recently
	 * @param upToDate whether this node holds every document, so that changes are enough
	 * @param now current monotonic time in milliseconds
	 * @return whether this node reads the source from now on
	 */
	public boolean update(Collection<Peer> nearPeers, boolean upToDate, long now) {
		long betterCount = nearPeers.stream().filter(this::isBetter).count();
		boolean served = nearPeers.stream().anyMatch((peer) -> peer.report() == Report.SERVED && isBetter(peer));
		if (served) {
			this.unservedSinceMillis = UNSET;
			this.servedSinceMillis = (this.servedSinceMillis == UNSET) ? now : this.servedSinceMillis;
			this.reading = this.reading && !(upToDate && now - this.servedSinceMillis >= HANDOVER_MILLIS);
			return this.reading;
		}
		this.servedSinceMillis = UNSET;
		this.unservedSinceMillis = (this.unservedSinceMillis == UNSET) ? now : this.unservedSinceMillis;
		long failingCount = nearPeers.stream()
			.filter((peer) -> peer.report() == Report.UNSERVED && isBetter(peer))
			.count();
		// Nodes that already read without success are not waited for.
		long delayMillis = (betterCount - failingCount) * TAKEOVER_INTERVAL_MILLIS
				+ Math.max(0, failingCount - MAX_PROMPT_TAKEOVERS) * OUTAGE_INTERVAL_MILLIS;
		this.reading = this.reading || now - this.unservedSinceMillis >= delayMillis;
		return this.reading;
	}

	private boolean isBetter(Peer peer) {
		return Comparator.comparingInt(Peer::capacity)
			.thenComparingLong((candidate) -> RendezvousHash.weight("", candidate.name()))
			.compare(peer, this.self) > 0;
	}

	/**
	 * A node of the same failure domain.
	 *
	 * @param name name of its VM
	 * @param capacity capacity of its link, in megabits per second; 0 if unknown
	 * @param report what it last reported about the source
	 */
	public record Peer(String name, int capacity, Report report) {

	}

	/**
	 * What a node reports about the source.
	 */
	public enum Report {

		/** The node does not read the source. */
		NONE,

		/** The node reads the source, which answers it. */
		SERVED,

		/** The node reads the source, which does not answer it. */
		UNSERVED

	}

}
