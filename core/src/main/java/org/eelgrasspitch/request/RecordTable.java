package org.eelgrasspitch.request;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.eelgrasspitch.misc.Digest;

/**
 * Deduplicates at-most-once requests: decides, for the tickets issued by one process,
 * whether an attempt may start its request. No other component makes this decision.
 * <p>
 * <b>Rule.</b> An attempt may start a request only if its ticket names this incarnation,
 * the ticket has not expired, and no earlier attempt has claimed the request without
 * releasing it. Any other incarnation has its own table and refuses the ticket. Hence at
 * most one process can ever start the request, whatever membership information other
 * processes have.
 * <p>
 * <b>Time.</b> Only the monotonic clock of this process is used, so clock skew between
 * machines has no effect. A record is retained for at least
 * {@link #RETENTION_TICKET_LIFETIMES} ticket lifetimes after the ticket was issued, and
 * an expired ticket starts nothing; so dropping a record never allows its request to
 * start again.
 * <p>
 * <b>Outcomes.</b> If an attempt ends before the target could have received the request,
 * {@link #release} makes the record available to a later claim. Any other outcome is
 * final and returned to every later attempt: a response is kept in the record, and an
 * unknown outcome remains unknown.
 * <p>
 * Example: attempt 1 claims the request and sends it to the target; attempt 2, resent
 * through another node, finds the record running and waits for the same response; the
 * response arrives and both attempts get it; attempt 3, a minute later, gets it from the
 * record.
 * <p>
 * Not thread-safe; callers must synchronize.
 */
public final class RecordTable {

	/** Lifetime of a ticket, in milliseconds. */
	public static final long TICKET_LIFETIME_MILLIS = 300_000;

	/**
	 * Minimum retention time of a record from the issue of its ticket, in ticket
	 * lifetimes.
	 */
	public static final int RETENTION_TICKET_LIFETIMES = 2;

	private final String home;

	private final InetSocketAddress address;

	private final long incarnation;

	private final RandomGenerator random;

	private final int capacity;

	/** Records of claimed requests by the nonce of their tickets. */
	private final Map<Long, RequestRecord> records = new HashMap<>();

	/**
	 * Records in order of their first claim. The head is dropped first; a head that is
	 * still running or retained longer delays those behind it.
	 */
	private final Deque<RequestRecord> dropQueue = new ArrayDeque<>();

	/**
	 * Creates the empty table of a newly started process.
	 * @param home name of this VM
	 * @param address address at which this node accepts connections of other nodes
	 * @param incarnation incarnation of this process
	 * @param capacity maximum number of records; when it is reached, new requests are
	 * refused and no record is dropped early
	 * @param random source of the tickets' nonces
	 */
	public RecordTable(String home, InetSocketAddress address, long incarnation, int capacity, RandomGenerator random) {
		this.home = home;
		this.address = address;
		this.incarnation = incarnation;
		this.capacity = capacity;
		this.random = random;
	}

	/**
	 * Issues tickets.
	 * @param count number of tickets
	 * @param now milliseconds since this process started
	 * @return the tickets
	 */
	public List<Ticket> issue(int count, long now) {
		List<Ticket> tickets = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			tickets.add(new Ticket(this.home, this.address, this.incarnation, now + TICKET_LIFETIME_MILLIS,
					this.random.nextLong()));
		}
		return tickets;
	}

	/**
	 * Claims a request for an attempt that wants to start it.
	 * @param ticket the request's ticket
	 * @param content digest of the request; a ticket is valid for one request only
	 * @param now milliseconds since this process started
	 * @return whether the attempt may start the request, or the outcome to use instead
	 */
	public ClaimResult claim(Ticket ticket, Digest content, long now) {
		dropExpired(now);
		if (!isIssuedHere(ticket)) {
			return new ClaimResult.Refused(new CallOutcome.Unknown(Reason.HOME_RESTARTED));
		}
		RequestRecord existing = this.records.get(ticket.nonce());
		if (existing != null) {
			return claimAgain(existing, content, ticket, now);
		}
		if (now >= ticket.expiresAtMillis()) {
			return new ClaimResult.Refused(expiredOutcome(ticket, now));
		}
		if (this.records.size() >= this.capacity) {
			return new ClaimResult.Refused(new CallOutcome.NotRun(Reason.OVERLOADED, TICKET_LIFETIME_MILLIS / 10));
		}
		RequestRecord created = new RequestRecord(ticket.nonce(), content, dropAt(ticket));
		this.records.put(ticket.nonce(), created);
		this.dropQueue.add(created);
		return new ClaimResult.Start();
	}

	/**
	 * Records the final outcome of a running request; has no effect in any other state.
	 * @param ticket the request's ticket
	 * @param outcome the outcome, retained with the record
	 */
	public void finish(Ticket ticket, CallOutcome outcome) {
		RequestRecord existing = this.records.get(ticket.nonce());
		if (existing == null || existing.state != RecordState.RUNNING) {
			return;
		}
		existing.state = RecordState.FINISHED;
		existing.outcome = outcome;
	}

	/**
	 * Records that a claimed request did not run, so that a later attempt may claim it;
	 * has no effect in any other state.
	 * @param ticket the request's ticket
	 */
	public void release(Ticket ticket) {
		RequestRecord existing = this.records.get(ticket.nonce());
		if (existing != null && existing.state == RecordState.RUNNING) {
			existing.state = RecordState.RELEASED;
		}
	}

	/**
	 * Returns the outcome of a request without claiming it.
	 * @param ticket the request's ticket
	 * @param now milliseconds since this process started
	 * @return the final outcome; {@link CallOutcome.Late} while the request runs;
	 * {@link CallOutcome.NotRun} if it has not run; {@link CallOutcome.Unknown} if its
	 * record may have been dropped or belongs to another incarnation
	 */
	public CallOutcome outcome(Ticket ticket, long now) {
		dropExpired(now);
		if (!isIssuedHere(ticket)) {
			return new CallOutcome.Unknown(Reason.HOME_RESTARTED);
		}
		RequestRecord existing = this.records.get(ticket.nonce());
		if (existing == null) {
			return (now < ticket.expiresAtMillis()) ? new CallOutcome.NotRun(Reason.NOT_STARTED, 0)
					: expiredOutcome(ticket, now);
		}
		return switch (existing.state) {
			case RUNNING -> new CallOutcome.Late(0);
			case FINISHED -> existing.outcome;
			case RELEASED -> new CallOutcome.NotRun(Reason.NOT_STARTED, 0);
		};
	}

	/**
	 * Returns the number of records.
	 * @return the number, at most the capacity
	 */
	public int size() {
		return this.records.size();
	}

	private boolean isIssuedHere(Ticket ticket) {
		return ticket.incarnation() == this.incarnation && ticket.home().equals(this.home);
	}

	private ClaimResult claimAgain(RequestRecord existing, Digest content, Ticket ticket, long now) {
		if (!existing.content.equals(content)) {
			return new ClaimResult.Refused(new CallOutcome.NotRun(Reason.TICKET_MISUSED, 0));
		}
		return switch (existing.state) {
			case RUNNING -> new ClaimResult.Running();
			case FINISHED -> new ClaimResult.Finished(existing.outcome);
			case RELEASED -> reclaim(existing, ticket, now);
		};
	}

	private ClaimResult reclaim(RequestRecord existing, Ticket ticket, long now) {
		if (now >= ticket.expiresAtMillis()) {
			return new ClaimResult.Refused(new CallOutcome.NotRun(Reason.TICKET_EXPIRED, 0));
		}
		existing.state = RecordState.RUNNING;
		return new ClaimResult.Start();
	}

	/**
	 * Returns the outcome for an expired ticket without a record. While records of that
	 * age are retained, the request cannot have started; afterwards its outcome is
	 * unknown.
	 */
	private CallOutcome expiredOutcome(Ticket ticket, long now) {
		if (now < dropAt(ticket)) {
			return new CallOutcome.NotRun(Reason.TICKET_EXPIRED, 0);
		}
		return new CallOutcome.Unknown(Reason.TICKET_EXPIRED);
	}

	private void dropExpired(long now) {
		while (!this.dropQueue.isEmpty() && this.dropQueue.peek().dropAt <= now
				&& this.dropQueue.peek().state != RecordState.RUNNING) {
			this.records.remove(this.dropQueue.poll().nonce);
		}
	}

	private static long dropAt(Ticket ticket) {
		return ticket.expiresAtMillis() + (RETENTION_TICKET_LIFETIMES - 1) * TICKET_LIFETIME_MILLIS;
	}

	/**
	 * State of a record.
	 */
	private enum RecordState {

		/** Claimed by an attempt that has not ended. */
		RUNNING,

		/** Ended with a final outcome. */
		FINISHED,

		/**
		 * Ended before the target could have received the request; may be claimed again.
		 */
		RELEASED

	}

	/**
	 * Record of one claimed request.
	 */
	private static final class RequestRecord {

		private final long nonce;

		private final Digest content;

		/**
		 * Time from which it may be dropped, in milliseconds since this process started.
		 */
		private final long dropAt;

		private RecordState state = RecordState.RUNNING;

		/** The final outcome; null unless the state is {@link RecordState#FINISHED}. */
		private CallOutcome outcome;

		RequestRecord(long nonce, Digest content, long dropAt) {
			this.nonce = nonce;
			this.content = content;
			this.dropAt = dropAt;
		}

	}

}
