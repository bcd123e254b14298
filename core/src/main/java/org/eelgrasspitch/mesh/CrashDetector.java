package org.eelgrasspitch.mesh;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Tells the crash of a target from a connection that the target broke off, and collects
 * the calls under which it may have crashed.
 * <p>
 * Load pattern: a target runs many calls, each on its own connection, and one of them
 * crashes it. All its connections break within moments, but they are seen one after the
 * other, so at the first ones others still seem open. A verdict at that time attributes
 * the crash to one call at most, and any of them may be the one that caused it.
 * <p>
 * The connections that are open when the first call breaks are the witnesses. They are
 * looked at again after {@link #CHECK_DELAY_MILLIS}, by when all connections of a crashed
 * process have been reported as closed. If a witness is still open, the target lives, and
 * all calls collected until then were broken off. Otherwise a connection attempt decides;
 * a connection that was opened since the break proves nothing, because it may be one to a
 * successor of the target.
 * <p>
 * Example: calls {@code f} and {@code g} and an idle connection break. At the break of
 * {@code f} two connections are open, so the verdict waits; {@code g} joins the suspects.
 * At the check no witness is left, the connection attempt is refused, and both calls were
 * running when the target crashed.
 * <p>
 * Not thread-safe; callers must synchronize.
 *
 * @param <C> type of the calls
 * @param <K> type of the connections
 */
public final class CrashDetector<C, K> {

	/**
	 * Time after the first broken call at which the witnesses are looked at. The system
	 * closes all connections of a process within milliseconds of its end; the time also
	 * delays the retry of a call that was only broken off.
	 */
	public static final long CHECK_DELAY_MILLIS = 10;

	private final List<C> suspects = new ArrayList<>();

	private final Set<K> witnesses = new HashSet<>();

	/**
	 * Adds a call whose connection the target has closed.
	 * @param call the call
	 * @param openConnections connections to the target that seem open
	 * @return what the caller has to do
	 */
	public Step add(C call, Set<K> openConnections) {
		this.suspects.add(call);
		if (this.suspects.size() > 1) {
			return Step.WAIT;
		}
		this.witnesses.clear();
		this.witnesses.addAll(openConnections);
		return this.witnesses.isEmpty() ? Step.CONNECT : Step.CHECK_LATER;
	}

	/**
	 * Looks at the witnesses again.
	 * @param openConnections connections to the target that are open now
	 * @return {@link Step#FAIL_AS_BROKEN_OFF} or {@link Step#CONNECT}
	 */
	public Step check(Set<K> openConnections) {
		return this.witnesses.stream().anyMatch(openConnections::contains) ? Step.FAIL_AS_BROKEN_OFF : Step.CONNECT;
	}

	/**
	 * Returns the calls collected since the last time, for which there is a verdict now.
	 * @return the calls in the order in which they broke
	 */
	public List<C> takeSuspects() {
		List<C> taken = List.copyOf(this.suspects);
		this.suspects.clear();
		return taken;
	}

	/**
	 * What to do next.
	 */
	public enum Step {

		/** Nothing: a check or a connection attempt is due already. */
		WAIT,

		/** Call {@link #check} after {@link #CHECK_DELAY_MILLIS}. */
		CHECK_LATER,

		/**
		 * Try to connect: if the target accepts no connection, it crashed under all
		 * suspects.
		 */
		CONNECT,

		/** The target lives: all suspects were only broken off. */
		FAIL_AS_BROKEN_OFF

	}

}
