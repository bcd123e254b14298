package org.eelgrasspitch.fleet;

import java.net.InetSocketAddress;
import java.util.Optional;

import org.eelgrasspitch.text.Channel;

/**
 * What a {@link FleetMember} remembers of one open link.
 */
final class Link {

	private final long id;

	private final Peer peer;

	private final boolean outbound;

	/** The address dialled; null for an inbound link. */
	private final InetSocketAddress dialled;

	/** When anything last arrived, in monotonic milliseconds. */
	private long heardAt;

	/** When a status was last sent, in monotonic milliseconds; 0 before the first. */
	private long toldAt;

	/**
	 * What the peer was last told, without age and nonce; null before the first time.
	 */
	private PeerMessage.Status told;

	/** The latest status of the peer; null before the first. */
	private PeerMessage.Status status;

	/** Pulls in a row that the peer did not answer in time. */
	private int unanswered;

	/** Nonce of a query that still waits for a confirmed answer; 0 when none does. */
	private long owedNonce;

	Link(FleetEvent.LinkOpened opened, long now) {
		this.id = opened.link();
		this.peer = opened.peer();
		this.outbound = opened.outbound();
		this.dialled = opened.dialled();
		this.heardAt = now;
	}

	long id() {
		return this.id;
	}

	Peer peer() {
		return this.peer;
	}

	boolean isOutbound() {
		return this.outbound;
	}

	InetSocketAddress dialled() {
		return this.dialled;
	}

	Optional<PeerMessage.Status> status() {
		return Optional.ofNullable(this.status);
	}

	void heard(PeerMessage.Status latest) {
		this.status = latest;
	}

	void touch(long now) {
		this.heardAt = now;
	}

	boolean isSilent(long now, long silenceMillis) {
		return now - this.heardAt > silenceMillis;
	}

	/**
	 * Chooses the message that tells the peer a status: the short form when only the age
	 * changed.
	 */
	PeerMessage tell(PeerMessage.Status latest, long now) {
		this.toldAt = now;
		PeerMessage.Status essence = latest.withAge(0);
		boolean same = essence.equals(this.told);
		this.told = essence;
		return (same && latest.nonce() == 0) ? heartbeat(latest) : latest;
	}

	private static PeerMessage heartbeat(PeerMessage.Status status) {
		return new PeerMessage.Heartbeat(status.evidenceAgeMillis(), status.revision(Channel.TEXT),
				status.revision(Channel.VMS));
	}

	/**
	 * Completes a heartbeat by the status that it refers to.
	 * @return the status now, or empty when the one it refers to did not arrive here
	 */
	Optional<PeerMessage.Status> status(PeerMessage.Heartbeat heartbeat) {
		return status()
			.filter((former) -> former.revision(Channel.TEXT) == heartbeat.textRevision()
					&& former.revision(Channel.VMS) == heartbeat.vmsRevision())
			.map((former) -> former.withAge(heartbeat.evidenceAgeMillis()));
	}

	boolean isDue(long now, long intervalMillis) {
		return now - this.toldAt >= intervalMillis;
	}

	int unanswered() {
		return this.unanswered;
	}

	void pullEnded(boolean answered) {
		this.unanswered = answered ? 0 : this.unanswered + 1;
	}

	void owe(long nonce) {
		this.owedNonce = nonce;
	}

	long takeOwed() {
		long nonce = this.owedNonce;
		this.owedNonce = 0;
		return nonce;
	}

	boolean isOwed() {
		return this.owedNonce != 0;
	}

	/**
	 * Returns the revision that the peer last said it holds.
	 */
	long revision(Channel channel) {
		return status().map((latest) -> latest.revision(channel)).orElse(0L);
	}

}
