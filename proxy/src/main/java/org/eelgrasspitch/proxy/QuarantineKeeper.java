package org.eelgrasspitch.proxy;

import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.proxy.generated.LinkDeath;
import org.eelgrasspitch.proxy.generated.LinkMessage;
import org.eelgrasspitch.proxy.generated.LinkSurvival;
import org.eelgrasspitch.request.Quarantine;

/**
 * Knows which requests crash targets, as recorded by this node and its peers, and tells
 * the peers.
 * <p>
 * The home of a crashed target reports all requests that ran there. An entry node whose
 * request is answered although it was reported tells that as well. A report from another
 * failure domain is passed on within this one, because its sender has links to some of
 * the peers only.
 */
final class QuarantineKeeper {

	/**
	 * Number of crashes that quarantine a request that no target has answered since. A
	 * target that starts again and crashes again counts each time. Three, because a request that is resent after a crash meets those
	 * that ran beside it again.
	 */
	private static final int CRASH_THRESHOLD = 3;

	private final ProxyContext context;

	private final Quarantine quarantine = new Quarantine(CRASH_THRESHOLD);

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
	 * @param fingerprint supplies the request's fingerprint; called only if any request
	 * is quarantined
	 * @return true if it must not be sent to a target
	 */
	boolean isQuarantined(Supplier<Digest> fingerprint) {
		long now = this.context.now();
		return this.quarantine.count(now) > 0 && this.quarantine.isQuarantined(fingerprint.get(), now);
	}

	/**
	 * Records the crash of the target of this VM and notifies all peers.
	 * @param fingerprints fingerprints of the requests that were running
	 * @param crash the crash
	 */
	void targetCrashed(Collection<Digest> fingerprints, TargetCrash crash) {
		for (Digest fingerprint : fingerprints) {
			recordCrash(fingerprint, crash);
			this.broadcast.send(crashNotice(fingerprint, crash), (link) -> true);
		}
	}

	/**
	 * Records that a target has answered a request, and notifies all peers if the request
	 * was suspected of crashing targets.
	 * @param fingerprint supplies the request's fingerprint; called only if any request
	 * is suspected
	 */
	void requestAnswered(Supplier<Digest> fingerprint) {
		if (this.quarantine.suspectCount(this.context.now()) == 0) {
			return;
		}
		Digest answered = fingerprint.get();
		if (recordSurvival(answered)) {
			this.broadcast.send(survivalNotice(answered), Link::acceptsSurvivals);
		}
	}

	/**
	 * Records a crash that a peer reports.
	 * @param notice the report
	 * @param fromNear whether the peer is in this node's failure domain
	 */
	void handleCrashNotice(LinkDeath notice, boolean fromNear) {
		Digest fingerprint = Digest.fromBytes(notice.getFingerprint(), 0);
		TargetCrash crash = new TargetCrash(notice.getTarget(), notice.getCrash());
		if (recordCrash(fingerprint, crash) && !fromNear) {
			this.broadcast.send(crashNotice(fingerprint, crash), Link::isNear);
		}
	}

	/**
	 * Records an answer that a peer reports.
	 * @param notice the report
	 * @param fromNear whether the peer is in this node's failure domain
	 */
	void handleSurvivalNotice(LinkSurvival notice, boolean fromNear) {
		Digest fingerprint = Digest.fromBytes(notice.getFingerprint(), 0);
		if (recordSurvival(fingerprint) && !fromNear) {
			this.broadcast.send(survivalNotice(fingerprint), (link) -> link.isNear() && link.acceptsSurvivals());
		}
	}

	int suspectCount() {
		return this.quarantine.suspectCount(this.context.now());
	}

	int quarantinedCount() {
		return this.quarantine.count(this.context.now());
	}

	private boolean recordCrash(Digest fingerprint, TargetCrash crash) {
		boolean added = this.quarantine.recordDeath(fingerprint, crash.name(), this.context.now());
		if (added) {
			this.context.log()
				.logNodeEvent(LogEvent.TARGET_DIED, "target", crash.target(), "fingerprint", fingerprint.hex(), "crashes",
						this.quarantine.deathCount(fingerprint));
		}
		return added;
	}

	private boolean recordSurvival(Digest fingerprint) {
		int crashes = this.quarantine.deathCount(fingerprint);
		boolean cleared = this.quarantine.recordSurvival(fingerprint, this.context.now());
		if (cleared) {
			this.context.log()
				.logNodeEvent(LogEvent.SUSPECT_CLEARED, "fingerprint", fingerprint.hex(), "crashes", crashes);
		}
		return cleared;
	}

	private static LinkMessage crashNotice(Digest fingerprint, TargetCrash crash) {
		return LinkMessage
			.death(new LinkDeath(ByteBuffer.wrap(fingerprint.bytes()), crash.target()).setCrash(crash.number()));
	}

	private static LinkMessage survivalNotice(Digest fingerprint) {
		return LinkMessage.survival(new LinkSurvival(ByteBuffer.wrap(fingerprint.bytes())));
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
