package org.eelgrasspitch.proxy;

import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.proxy.generated.LinkDeath;
import org.eelgrasspitch.proxy.generated.LinkMessage;
import org.eelgrasspitch.proxy.generated.LinkSurvival;
import org.eelgrasspitch.request.Quarantine;
import org.eelgrasspitch.request.Quarantine.Event;

/**
 * Knows which requests crash targets, as recorded by this node and its peers, and tells
 * the peers.
 * <p>
 * The home of a crashed target reports all requests that ran there. An entry node whose
 * request is answered although it was reported tells that as well. A report from another
 * failure domain is passed on within this one, because its sender has links to some of
 * the peers only. A new peer is told what is known when the link opens.
 */
final class QuarantineKeeper {

	/**
	 * Number of crashes that quarantine a request that no target has answered since. A
	 * target that starts again and crashes again counts each time. Three, because a
	 * request that is resent after a crash meets those that ran beside it again.
	 */
	private static final int CRASH_THRESHOLD = 3;

	/** Retry delay told to the caller of a quarantined request. */
	static final int RETRY_AFTER_MILLIS = 2_000;

	/** Maximum number of requests of which a new link is told. */
	private static final int MAX_REQUESTS_FOR_NEW_LINK = 1_000;

	private final ProxyContext context;

	private final Quarantine<TargetCrash> quarantine = new Quarantine<>(CRASH_THRESHOLD);

	private Broadcast broadcast = (message, receives) -> {
	};

	QuarantineKeeper(ProxyContext context) {
		this.context = context;
	}

	void setBroadcast(Broadcast newBroadcast) {
		this.broadcast = newBroadcast;
	}

	/**
	 * Returns whether a request is quarantined.
	 * @param fingerprint supplies the request's fingerprint, or empty if it has none;
	 * called only if any request is quarantined
	 * @return true if it must not be sent to a target
	 */
	boolean isQuarantined(Supplier<Optional<Digest>> fingerprint) {
		long now = this.context.now();
		return this.quarantine.count(now) > 0
				&& fingerprint.get().filter((known) -> this.quarantine.isQuarantined(known, now)).isPresent();
	}

	/**
	 * Records the crash of the target of this VM and notifies all peers.
	 * @param fingerprints fingerprints of the requests that were running
	 * @param crash the crash
	 */
	void targetCrashed(Collection<Digest> fingerprints, TargetCrash crash) {
		for (Digest fingerprint : fingerprints) {
			Event.Death<TargetCrash> death = new Event.Death<>(fingerprint, crash, this.context.now());
			record(death);
			this.broadcast.send(toWire(death), (link) -> true);
		}
	}

	/**
	 * Records that a target has answered a request, and notifies all peers if the request
	 * was suspected of crashing targets.
	 * @param fingerprint supplies the request's fingerprint, or empty if it has none;
	 * called only if any request is suspected
	 */
	void requestAnswered(Supplier<Optional<Digest>> fingerprint) {
		if (this.quarantine.suspectCount(this.context.now()) > 0) {
			fingerprint.get().ifPresent(this::recordAnswer);
		}
	}

	private void recordAnswer(Digest fingerprint) {
		Event<TargetCrash> survival = new Event.Survival<>(fingerprint, this.context.now());
		if (record(survival)) {
			this.broadcast.send(toWire(survival), Link::acceptsSurvivals);
		}
	}

	/**
	 * Tells a new peer what is known; it may have started after the crashes, or been out
	 * of reach.
	 * @param link link to the peer
	 */
	void linkOpened(Link link) {
		this.quarantine.recentEvents(MAX_REQUESTS_FOR_NEW_LINK, this.context.now())
			.stream()
			.filter((event) -> event instanceof Event.Death || link.acceptsSurvivals())
			.forEach((event) -> link.send(toWire(event)));
	}

	/**
	 * Records a crash that a peer reports.
	 * @param notice the report
	 * @param fromNear whether the peer is in this node's failure domain
	 */
	void handleCrashNotice(LinkDeath notice, boolean fromNear) {
		handle(new Event.Death<>(Digest.fromBytes(notice.getFingerprint(), 0),
				new TargetCrash(notice.getTarget(), notice.getCrash()), this.context.now() - notice.getAgeMillis()),
				fromNear);
	}

	/**
	 * Records an answer that a peer reports.
	 * @param notice the report
	 * @param fromNear whether the peer is in this node's failure domain
	 */
	void handleSurvivalNotice(LinkSurvival notice, boolean fromNear) {
		handle(new Event.Survival<>(Digest.fromBytes(notice.getFingerprint(), 0),
				this.context.now() - notice.getAgeMillis()), fromNear);
	}

	private void handle(Event<TargetCrash> event, boolean fromNear) {
		if (record(event) && !fromNear) {
			this.broadcast.send(toWire(event),
					(link) -> link.isNear() && (event instanceof Event.Death || link.acceptsSurvivals()));
		}
	}

	int suspectCount() {
		return this.quarantine.suspectCount(this.context.now());
	}

	int quarantinedCount() {
		return this.quarantine.count(this.context.now());
	}

	/**
	 * Records an event.
	 * @return false if it changes nothing
	 */
	private boolean record(Event<TargetCrash> event) {
		return switch (event) {
			case Event.Death<TargetCrash> death -> recordDeath(death);
			case Event.Survival<TargetCrash> survival -> recordSurvival(survival);
		};
	}

	private boolean recordDeath(Event.Death<TargetCrash> event) {
		boolean added = this.quarantine.recordDeath(event.fingerprint(), event.death(), event.atMillis());
		if (added) {
			this.context.log()
				.logNodeEvent(LogEvent.TARGET_DIED, "target", event.death().target(), "fingerprint",
						event.fingerprint().hex(), "crashes", this.quarantine.deathCount(event.fingerprint()));
		}
		return added;
	}

	private boolean recordSurvival(Event.Survival<TargetCrash> event) {
		int crashes = this.quarantine.deathCount(event.fingerprint());
		boolean cleared = this.quarantine.recordSurvival(event.fingerprint(), event.atMillis());
		if (cleared) {
			this.context.log()
				.logNodeEvent(LogEvent.SUSPECT_CLEARED, "fingerprint", event.fingerprint().hex(), "crashes", crashes);
		}
		return cleared;
	}

	private LinkMessage toWire(Event<TargetCrash> event) {
		ByteBuffer fingerprint = ByteBuffer.wrap(event.fingerprint().bytes());
		int ageMillis = (int) (this.context.now() - event.atMillis());
		return switch (event) {
			case Event.Death<TargetCrash> death ->
				LinkMessage.death(new LinkDeath(fingerprint, death.death().target()).setCrash(death.death().number())
					.setAgeMillis(ageMillis));
			case Event.Survival<TargetCrash> survival ->
				LinkMessage.survival(new LinkSurvival(fingerprint).setAgeMillis(ageMillis));
		};
	}

	/**
	 * Sends a message to peers.
	 */
	interface Broadcast {

		/**
		 * Sends a message on open links.
		 * @param message the message
		 * @param receives selects the links
		 */
		void send(LinkMessage message, Predicate<Link> receives);

	}

}
