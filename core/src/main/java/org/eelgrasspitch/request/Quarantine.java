package org.eelgrasspitch.request;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.eelgrasspitch.misc.Digest;

/**
 * Detects requests that crash the targets that run them ("queries of death") and
 * quarantines them, so that one such request cannot take down every target of a service.
 * <p>
 * A request is identified by its fingerprint. A target that closes the connection after
 * the request was sent and before the complete response arrived counts as a death for
 * that request, whether or not it accepts connections afterwards: a process that is
 * shutting down may still accept one, and a supervisor may already have started its
 * successor. The streaming proxy counts a closed connection only if the target then
 * accepts no connection. A single death has no effect, since the target may have died of
 * another cause. By default a second death, of a different target, quarantines the
 * request until {@link #QUARANTINE_MILLIS} after the last death: it is sent to no target.
 * The node daemon reports deaths to all other nodes of the service before the entry node
 * receives the outcome, so that a resend through another node is refused as well; the
 * entry node of the streaming proxy notifies its peers without waiting for them.
 * <p>
 * Example: request {@code f} crashes target 1; its entry node retries on target 2, which
 * crashes as well; the caller gets a final outcome; a resend through any node of the
 * service is refused without reaching target 3.
 * <p>
 * Not thread-safe; callers must synchronize.
 */
public final class Quarantine {

	/** Default number of distinct targets whose death quarantines a request. */
	public static final int DEATH_THRESHOLD = 2;

	/**
	 * Time after the last death until a request's deaths are dropped, in milliseconds.
	 */
	public static final long QUARANTINE_MILLIS = 600_000;

	/**
	 * Maximum number of fingerprints kept; those with the oldest last death are dropped
	 * first.
	 */
	public static final int MAX_FINGERPRINTS = 10_000;

	private final int deathThreshold;

	/** Deaths by request fingerprint, in order of the last death. */
	private final Map<Digest, DeathRecord> deathRecords = new LinkedHashMap<>();

	/**
	 * Creates an instance with a threshold of {@link #DEATH_THRESHOLD}.
	 */
	public Quarantine() {
		this(DEATH_THRESHOLD);
	}

	/**
	 * Creates an instance.
	 * @param deathThreshold number of distinct targets whose death quarantines a request
	 */
	public Quarantine(int deathThreshold) {
		this.deathThreshold = deathThreshold;
	}

	/**
	 * Records that a target died while a request was in flight.
	 * @param fingerprint the request's fingerprint
	 * @param target identifier of the target: the name of its VM in the node daemon, the
	 * target's own identifier in the streaming proxy
	 * @param now current monotonic time in milliseconds
	 * @return false if this death was known already
	 */
	public boolean recordDeath(Digest fingerprint, String target, long now) {
		dropOld(now);
		DeathRecord previous = this.deathRecords.remove(fingerprint);
		Set<String> targets = new HashSet<>((previous != null) ? previous.targets() : Set.of());
		boolean added = targets.add(target);
		this.deathRecords.put(fingerprint, new DeathRecord(targets, now));
		return added;
	}

	/**
	 * Returns whether a request must not be sent to any target.
	 * @param fingerprint the request's fingerprint
	 * @param now current monotonic time in milliseconds
	 * @return true if it is quarantined
	 */
	public boolean isQuarantined(Digest fingerprint, long now) {
		dropOld(now);
		DeathRecord deathRecord = this.deathRecords.get(fingerprint);
		return deathRecord != null && deathRecord.targets().size() >= this.deathThreshold;
	}

	/**
	 * Returns how many targets died while they ran a request.
	 * @param fingerprint the request's fingerprint
	 * @return the number of distinct targets; 0 if none is known
	 */
	public int deathCount(Digest fingerprint) {
		DeathRecord deathRecord = this.deathRecords.get(fingerprint);
		return (deathRecord != null) ? deathRecord.targets().size() : 0;
	}

	/**
	 * Returns the number of requests under which at least one target died.
	 * @param now current monotonic time in milliseconds
	 * @return the number, quarantined requests included
	 */
	public int suspectCount(long now) {
		dropOld(now);
		return this.deathRecords.size();
	}

	/**
	 * Returns the number of quarantined requests.
	 * @param now current monotonic time in milliseconds
	 * @return the number
	 */
	public int count(long now) {
		dropOld(now);
		return (int) this.deathRecords.values()
			.stream()
			.filter((deathRecord) -> deathRecord.targets().size() >= this.deathThreshold)
			.count();
	}

	private void dropOld(long now) {
		this.deathRecords.values().removeIf((deathRecord) -> now - deathRecord.lastDeathAt() >= QUARANTINE_MILLIS);
		while (this.deathRecords.size() > MAX_FINGERPRINTS) {
			this.deathRecords.remove(this.deathRecords.keySet().iterator().next());
		}
	}

	/**
	 * Recorded deaths for one fingerprint.
	 *
	 * @param targets the targets that died, as passed to {@link #recordDeath}
	 * @param lastDeathAt time of the last death, in monotonic milliseconds
	 */
	private record DeathRecord(Set<String> targets, long lastDeathAt) {

	}

}
