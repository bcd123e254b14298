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
	private long statusSentAt;

	/**
	 * What the peer was last told, without age and nonce; null before the first time.
	 */
	private PeerMessage.Status lastSent;

	/** The latest status of the peer; null before the first. */
	private PeerMessage.Status status;

	/** Pulls in a row that the peer did not answer in time. */
	private int unansweredPulls;

	/** Nonce of a query that still waits for a confirmed answer; 0 when none does. */
	private long unconfirmedNonce;

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

	void updateStatus(PeerMessage.Status latest) {
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
	PeerMessage statusMessage(PeerMessage.Status latest, long now) {
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
	 * Completes a heartbeat by the status that it refers to.
	 * @return the status now, or empty when the one it refers to did not arrive here
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

	void awaitConfirmation(long nonce) {
		this.unconfirmedNonce = nonce;
	}

	long takeNonce() {
		long nonce = this.unconfirmedNonce;
		this.unconfirmedNonce = 0;
		return nonce;
	}

	boolean hasNonce() {
		return this.unconfirmedNonce != 0;
	}

	/**
	 * Returns the revision that the peer last said it holds.
	 */
	long revision(Channel channel) {
		return status().map((latest) -> latest.revision(channel)).orElse(0L);
	}

}
