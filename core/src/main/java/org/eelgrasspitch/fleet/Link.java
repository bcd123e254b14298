package org.eelgrasspitch.fleet;

import java.net.InetSocketAddress;
import java.util.Optional;

import org.eelgrasspitch.text.Channel;

/**
 * State that a {@link FleetMember} keeps for one open link.
 */
final class Link {

	private final long id;

	private final Peer peer;

	private final boolean outbound;

	/** Address that was dialled; null for an inbound link. */
	private final InetSocketAddress dialled;

	/** When a message was last received, in monotonic milliseconds. */
	private long receivedAt;

	/** When a status was last sent, in monotonic milliseconds; 0 before the first. */
	private long statusSentAt;

	/**
	 * The status last sent to the peer, without age and nonce; null before the first.
	 */
	private PeerMessage.Status lastSent;

	/** The latest status received from the peer; null before the first. */
	private PeerMessage.Status status;

	/** Consecutive pulls that the peer did not answer in time. */
	private int unansweredPulls;

	/**
	 * Nonce of a query that was answered without fresh evidence and must be answered
	 * again; 0 when there is none.
	 */
	private long unconfirmedNonce;

	Link(FleetEvent.LinkOpened opened, long now) {
		this.id = opened.link();
		this.peer = opened.peer();
		this.outbound = opened.outbound();
		this.dialled = opened.dialled();
		this.receivedAt = now;
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

	void updateStatus(PeerMessage.Status latest) {
		this.status = latest;
	}

	void markReceived(long now) {
		this.receivedAt = now;
	}

	boolean isSilent(long now, long silenceMillis) {
		return now - this.receivedAt > silenceMillis;
	}

	/**
	 * Records a status as sent and returns the message that reports it: a heartbeat when
	 * only the age of the evidence changed and no query is answered, else the full
	 * status.
	 */
	PeerMessage nextStatusMessage(PeerMessage.Status latest, long now) {
		this.statusSentAt = now;
		PeerMessage.Status withoutAge = latest.withAge(0);
		boolean same = withoutAge.equals(this.lastSent);
		this.lastSent = withoutAge;
		return (same && latest.nonce() == 0) ? heartbeat(latest) : latest;
	}

	private static PeerMessage heartbeat(PeerMessage.Status status) {
		return new PeerMessage.Heartbeat(status.evidenceAgeMillis(), status.revision(Channel.TEXT),
				status.revision(Channel.VMS));
	}

	/**
	 * Reconstructs the status that a heartbeat stands for.
	 * @return the current status, or empty when the status that the heartbeat refers to
	 * was not received
	 */
	Optional<PeerMessage.Status> statusFor(PeerMessage.Heartbeat heartbeat) {
		return status()
			.filter((previous) -> previous.revision(Channel.TEXT) == heartbeat.textRevision()
					&& previous.revision(Channel.VMS) == heartbeat.vmsRevision())
			.map((previous) -> previous.withAge(heartbeat.evidenceAgeMillis()));
	}

	boolean isStatusDue(long now, long intervalMillis) {
		return now - this.statusSentAt >= intervalMillis;
	}

	int unansweredPulls() {
		return this.unansweredPulls;
	}

	void pullEnded(boolean answered) {
		this.unansweredPulls = answered ? 0 : this.unansweredPulls + 1;
	}

	void setUnconfirmedNonce(long nonce) {
		this.unconfirmedNonce = nonce;
	}

	long takeUnconfirmedNonce() {
		long nonce = this.unconfirmedNonce;
		this.unconfirmedNonce = 0;
		return nonce;
	}

	boolean hasUnconfirmedNonce() {
		return this.unconfirmedNonce != 0;
	}

	/**
	 * Returns the revision in the latest status of the peer; 0 before the first.
	 */
	long revision(Channel channel) {
		return status().map((latest) -> latest.revision(channel)).orElse(0L);
	}

}
