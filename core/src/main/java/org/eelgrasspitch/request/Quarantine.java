package org.eelgrasspitch.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
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
 * accepts no connection; it counts the death for every request that was running, because
 * nothing tells which of them caused it. A single death has no effect, since the target
 * may have died of another cause. By default a second death, of a different target,
 * quarantines the request until {@link #QUARANTINE_MILLIS} after the last death: it is
 * sent to no target. The node daemon reports deaths to all other nodes of the service
 * before the entry node receives the outcome, so that a resend through another node is
 * refused as well; the home of the streaming proxy notifies its peers, the entry node
 * among them, without waiting for them.
 * <p>
 * A request that a target has answered does not crash targets. {@link #recordSurvival}
 * therefore drops its deaths up to then. This keeps requests in use that only ran beside
 * one that crashes targets, above all frequent ones, which run somewhere at each crash.
 * <p>
 * Example: request {@code f} crashes target 1 while {@code g} runs there; the entry nodes
 * retry both on target 2, which crashes as well; their callers get a final outcome. The
 * caller of {@code g} resends it, target 3 answers, and {@code g} has no deaths any more.
 * A resend of {@code f} through any node of the service is refused without reaching a
 * target.
 * <p>
 * Not thread-safe; callers must synchronize.
 *
 * @param <D> type that identifies a death: the name of the target's VM in the node
 * daemon; in the streaming proxy it tells deaths of one target apart, since a target may
 * start again
 */
public final class Quarantine<D> {

	/** Default number of distinct targets whose death quarantines a request. */
	public static final int DEATH_THRESHOLD = 2;

	/**
	 * Time after the last death or survival until a request's record is dropped, in
	 * milliseconds.
	 */
	public static final long QUARANTINE_MILLIS = 600_000;

	/**
	 * Maximum number of fingerprints kept; those recorded least recently are dropped
	 * first.
	 */
	public static final int MAX_FINGERPRINTS = 10_000;

	private final int deathThreshold;

	/** Records by request fingerprint, in order of the last change here. */
	private final Map<Digest, RequestRecord<D>> records = new LinkedHashMap<>();

	/** Number of records with at least one death. */
	private int suspectCount;

	/** Number of records with as many deaths as the threshold. */
	private int quarantinedCount;

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
	 * Records that a target died while a request was in flight. A death that happened
	 * before this was recorded elsewhere may be reported here later.
	 * @param fingerprint the request's fingerprint
	 * @param death identifies the death
	 * @param diedAt monotonic time of the death in milliseconds; not in the future
	 * @return false if this death was known already, or is not later than the last
	 * survival
	 */
	public boolean recordDeath(Digest fingerprint, D death, long diedAt) {
		dropOld(diedAt);
		RequestRecord<D> requestRecord = find(fingerprint);
		if (requestRecord.deathTimes().containsKey(death) || diedAt <= requestRecord.survivedAt()) {
			return false;
		}
		replace(fingerprint, requestRecord.withDeath(death, diedAt));
		return true;
	}

	/**
	 * Records that a target has answered a request, and drops the deaths up to then.
	 * @param fingerprint the request's fingerprint
	 * @param survivedAt monotonic time of the answer in milliseconds; not in the future
	 * @return true if the request had such a death
	 */
	public boolean recordSurvival(Digest fingerprint, long survivedAt) {
		dropOld(survivedAt);
		RequestRecord<D> requestRecord = find(fingerprint);
		RequestRecord<D> survived = requestRecord.withSurvival(survivedAt);
		if (survived.deathTimes().size() == requestRecord.deathTimes().size()) {
			return false;
		}
		replace(fingerprint, survived);
		return true;
	}

	/**
	 * Returns whether a request must not be sent to any target.
	 * @param fingerprint the request's fingerprint
	 * @param now current monotonic time in milliseconds
	 * @return true if it is quarantined
	 */
	public boolean isQuarantined(Digest fingerprint, long now) {
		dropOld(now);
		RequestRecord<D> requestRecord = find(fingerprint);
		return requestRecord.deathTimes().size() >= this.deathThreshold && !requestRecord.isOld(now);
	}

	/**
	 * Returns how many targets died while they ran a request, since it last survived.
	 * @param fingerprint the request's fingerprint
	 * @return the number of distinct targets; 0 if none is known
	 */
	public int deathCount(Digest fingerprint) {
		return find(fingerprint).deathTimes().size();
	}

	/**
	 * Returns the deaths of targets while they ran a request, since it last survived.
	 * @param fingerprint the request's fingerprint
	 * @return the deaths as passed to {@link #recordDeath}; empty if none is known
	 */
	public Set<D> deaths(Digest fingerprint) {
		return Set.copyOf(find(fingerprint).deathTimes().keySet());
	}

	/**
	 * Returns the number of requests under which at least one target died.
	 * @param now current monotonic time in milliseconds
	 * @return the number, quarantined requests included
	 */
	public int suspectCount(long now) {
		dropOld(now);
		return this.suspectCount;
	}

	/**
	 * Returns the number of quarantined requests.
	 * @param now current monotonic time in milliseconds
	 * @return the number
	 */
	public int count(long now) {
		dropOld(now);
		return this.quarantinedCount;
	}

	/**
	 * Returns what is known, for a node that may not know it.
	 * @param most maximum number of requests; those recorded least recently are left out
	 * @param now current monotonic time in milliseconds
	 * @return the deaths and survivals, in no particular order
	 */
	public List<Event<D>> recentEvents(int most, long now) {
		dropOld(now);
		List<Event<D>> events = new ArrayList<>();
		this.records.entrySet()
			.stream()
			.skip(Math.max(0, this.records.size() - most))
			.forEach((entry) -> entry.getValue().addEvents(entry.getKey(), events));
		return events;
	}

	private RequestRecord<D> find(Digest fingerprint) {
		RequestRecord<D> found = this.records.get(fingerprint);
		return (found != null) ? found : new RequestRecord<>(Map.of(), RequestRecord.NEVER);
	}

	private void replace(Digest fingerprint, RequestRecord<D> newest) {
		remove(fingerprint);
		this.records.put(fingerprint, newest);
		count(newest, 1);
	}

	private void remove(Digest fingerprint) {
		RequestRecord<D> removed = this.records.remove(fingerprint);
		if (removed != null) {
			count(removed, -1);
		}
	}

	private void count(RequestRecord<D> requestRecord, int change) {
		int deaths = requestRecord.deathTimes().size();
		this.suspectCount += (deaths > 0) ? change : 0;
		this.quarantinedCount += (deaths >= this.deathThreshold) ? change : 0;
	}

	/**
	 * Drops the records that were changed first, as long as they are old or too many. It
	 * is called for every request, so it does not look at the others: one that was
	 * reported late may be kept longer than it has an effect.
	 */
	private void dropOld(long now) {
		while (!this.records.isEmpty()) {
			Map.Entry<Digest, RequestRecord<D>> first = this.records.entrySet().iterator().next();
			if (this.records.size() <= MAX_FINGERPRINTS && !first.getValue().isOld(now)) {
				return;
			}
			remove(first.getKey());
		}
	}

	/**
	 * What happened to a request.
	 *
	 * @param <D> type that identifies a death
	 */
	public sealed interface Event<D> {

		/**
		 * Returns which request it happened to.
		 * @return the request's fingerprint
		 */
		Digest fingerprint();

		/**
		 * Returns when it happened.
		 * @return the monotonic time in milliseconds
		 */
		long atMillis();

		/**
		 * A target died while it ran the request.
		 *
		 * @param fingerprint the request's fingerprint
		 * @param death identifies the death
		 * @param atMillis monotonic time of the death in milliseconds
		 * @param <D> type that identifies a death
		 */
		record Death<D>(Digest fingerprint, D death, long atMillis) implements Event<D> {

		}

		/**
		 * A target answered the request, which had been running when another one died.
		 *
		 * @param fingerprint the request's fingerprint
		 * @param atMillis monotonic time of the answer in milliseconds
		 * @param <D> type that identifies a death
		 */
		record Survival<D>(Digest fingerprint, long atMillis) implements Event<D> {

		}

	}

	/**
	 * What is known of one request.
	 *
	 * @param deathTimes time of each death after the last survival, in monotonic
	 * milliseconds
	 * @param survivedAt time of the last survival, in monotonic milliseconds;
	 * {@link #NEVER} if there was none
	 * @param <D> type that identifies a death
	 */
	private record RequestRecord<D>(Map<D, Long> deathTimes, long survivedAt) {

		static final long NEVER = Long.MIN_VALUE / 2;

		RequestRecord<D> withDeath(D death, long diedAt) {
			Map<D, Long> added = new HashMap<>(this.deathTimes);
			added.put(death, diedAt);
			return new RequestRecord<>(added, this.survivedAt);
		}

		RequestRecord<D> withSurvival(long at) {
			Map<D, Long> later = new HashMap<>(this.deathTimes);
			later.values().removeIf((diedAt) -> diedAt <= at);
			return new RequestRecord<>(later, Math.max(at, this.survivedAt));
		}

		void addEvents(Digest fingerprint, List<Event<D>> events) {
			if (this.survivedAt != NEVER) {
				events.add(new Event.Survival<>(fingerprint, this.survivedAt));
			}
			this.deathTimes.forEach((death, diedAt) -> events.add(new Event.Death<>(fingerprint, death, diedAt)));
		}

		boolean isOld(long now) {
			long changedAt = this.deathTimes.values().stream().reduce(this.survivedAt, Math::max);
			return now - changedAt >= QUARANTINE_MILLIS;
		}

	}

}
