package org.eelgrasspitch.request;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.eelgrasspitch.misc.Digest;

/**
 * Remembers requests on which targets broke off, so that a request that crashes whatever
 * runs it is stopped after two.
 * <p>
 * A request is recognised by its fingerprint. A target that ends a connection after the
 * request was sent and before the whole answer is here counts as dead for that request,
 * whether or not it takes connections afterwards: a process that is being torn down may
 * still accept one, and a supervisor may have started the next. One death makes the
 * request suspect and changes nothing, since the target may have died of something else.
 * A second death, of another target, quarantines it for {@link #QUARANTINE_MILLIS}: no
 * target gets it. Deaths are reported to all nodes of the service before the entry node
 * hears of them, so that a resend through another node meets the same memory.
 * <p>
 * Worked case: request {@code f} kills target 1; its entry node tries target 2, which
 * dies as well; the caller gets a final answer; a resend through any node of the service
 * is refused without touching target 3.
 */
public final class Quarantine {

	/** Deaths of distinct targets that quarantine a request. */
	public static final int DEATH_THRESHOLD = 2;

	/** How long a death is remembered, in milliseconds. */
	public static final long QUARANTINE_MILLIS = 600_000;

	/** Most fingerprints remembered; the oldest are forgotten first. */
	public static final int MAX_FINGERPRINTS = 10_000;

	private final int deathThreshold;

	/** What is known of each fingerprint, the oldest first. */
	private final Map<Digest, DeathRecord> deathRecords = new LinkedHashMap<>();

	/**
	 * Creates a memory that quarantines after {@link #DEATH_THRESHOLD} deaths.
	 */
	public Quarantine() {
		this(DEATH_THRESHOLD);
	}

	/**
	 * Creates a memory.
	 * @param deathThreshold deaths of distinct targets that quarantine a request
	 */
	public Quarantine(int deathThreshold) {
		this.deathThreshold = deathThreshold;
	}

	/**
	 * Notes that a target died with a request in flight.
	 * @param fingerprint the request's fingerprint
	 * @param target name of the target's VM
	 * @param now current monotonic time in milliseconds
	 */
	public void recordDeath(Digest fingerprint, String target, long now) {
		dropOld(now);
		DeathRecord previous = this.deathRecords.remove(fingerprint);
		Set<String> targets = new HashSet<>((previous != null) ? previous.targets() : Set.of());
		targets.add(target);
		this.deathRecords.put(fingerprint, new DeathRecord(targets, now));
	}

	/**
	 * Tells whether a request must not be given to any target.
	 * @param fingerprint the request's fingerprint
	 * @param now current monotonic time in milliseconds
	 * @return true when it is quarantined
	 */
	public boolean isQuarantined(Digest fingerprint, long now) {
		dropOld(now);
		DeathRecord deathRecord = this.deathRecords.get(fingerprint);
		return deathRecord != null && deathRecord.targets().size() >= this.deathThreshold;
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
	 * What is known of one fingerprint.
	 *
	 * @param targets names of the VMs whose target died
	 * @param lastDeathAt when the last one died, in monotonic milliseconds
	 */
	private record DeathRecord(Set<String> targets, long lastDeathAt) {

	}

}
