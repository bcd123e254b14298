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
	public static final int DEATHS = 2;

	/** How long a death is remembered, in milliseconds. */
	public static final long QUARANTINE_MILLIS = 600_000;

	/** Most fingerprints remembered; the oldest are forgotten first. */
	public static final int MAX_FINGERPRINTS = 10_000;

	private final int deaths;

	/** What is known of each fingerprint, the oldest first. */
	private final Map<Digest, Suspect> suspects = new LinkedHashMap<>();

	/**
	 * Creates a memory that quarantines after {@link #DEATHS} deaths.
	 */
	public Quarantine() {
		this(DEATHS);
	}

	/**
	 * Creates a memory.
	 * @param deaths deaths of distinct targets that quarantine a request
	 */
	public Quarantine(int deaths) {
		this.deaths = deaths;
	}

	/**
	 * Notes that a target died with a request in flight.
	 * @param fingerprint the request's fingerprint
	 * @param target name of the target's VM
	 * @param now current monotonic time in milliseconds
	 */
	public void died(Digest fingerprint, String target, long now) {
		forget(now);
		Suspect former = this.suspects.remove(fingerprint);
		Set<String> targets = new HashSet<>((former != null) ? former.targets() : Set.of());
		targets.add(target);
		this.suspects.put(fingerprint, new Suspect(targets, now));
	}

	/**
	 * Tells whether a request must not be given to any target.
	 * @param fingerprint the request's fingerprint
	 * @param now current monotonic time in milliseconds
	 * @return true when it is quarantined
	 */
	public boolean isQuarantined(Digest fingerprint, long now) {
		forget(now);
		Suspect suspect = this.suspects.get(fingerprint);
		return suspect != null && suspect.targets().size() >= this.deaths;
	}

	/**
	 * Returns the number of quarantined requests.
	 * @param now current monotonic time in milliseconds
	 * @return the number
	 */
	public int count(long now) {
		forget(now);
		return (int) this.suspects.values()
			.stream()
			.filter((suspect) -> suspect.targets().size() >= this.deaths)
			.count();
	}

	private void forget(long now) {
		this.suspects.values().removeIf((suspect) -> now - suspect.lastDeathAt() >= QUARANTINE_MILLIS);
		while (this.suspects.size() > MAX_FINGERPRINTS) {
			this.suspects.remove(this.suspects.keySet().iterator().next());
		}
	}

	/**
	 * What is known of one fingerprint.
	 *
	 * @param targets names of the VMs whose target died
	 * @param lastDeathAt when the last one died, in monotonic milliseconds
	 */
	private record Suspect(Set<String> targets, long lastDeathAt) {

	}

}
