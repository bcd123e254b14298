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
 * Decides, for the tickets that one process issued, whether a request may start. This
 * table is the only place where that is decided.
 * <p>
 * <b>The rule.</b> A request may start here only if its ticket names this incarnation,
 * the ticket has not expired, and no earlier attempt has started it. Another incarnation
 * holds another table and refuses the ticket; hence at most one process can ever start
 * the request, whatever any process believes about the others.
 * <p>
 * <b>Time</b> is this process's own monotonic clock, so that no difference between clocks
 * matters. A record lives until {@link #RETENTION_TICKET_LIFETIMES} ticket lives after
 * the ticket was issued, and an expired ticket starts nothing; so there is no moment at
 * which a request could start because its record was already dropped.
 * <p>
 * <b>Outcomes.</b> An attempt that ended before its target could have seen the request
 * {@link #release}s the record, which may then be claimed again. Any other end is final:
 * an answer is kept and repeated to every later attempt, and an outcome that is not known
 * stays unknown.
 * <p>
 * Worked case: attempt 1 claims and is sent to the target; attempt 2, resent through
 * another node, finds the record running and waits for the same answer; the answer
 * arrives and both get it; attempt 3, a minute later, gets it again from the record.
 */
public final class RecordTable {

	/** Life of a ticket, in milliseconds. */
	public static final long TICKET_LIFETIME_MILLIS = 300_000;

	/** Life of a record, in ticket lives. */
	public static final int RETENTION_TICKET_LIFETIMES = 2;

	private final String home;

	private final InetSocketAddress address;

	private final long incarnation;

	private final RandomGenerator random;

	private final int capacity;

	/** Records of requests that were claimed, by the ticket's nonce. */
	private final Map<Long, RequestRecord> records = new HashMap<>();

	/** Records in the order in which they may be dropped. */
	private final Deque<RequestRecord> dropQueue = new ArrayDeque<>();

	/**
	 * Creates the empty table of a process that just started.
	 * @param home name of this VM
	 * @param address where this node accepts other nodes
	 * @param incarnation this process
	 * @param capacity most records kept; further requests are refused, never forgotten
	 * @param random source of randomness
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
	 * Tries to start a request.
	 * @param ticket the request's ticket
	 * @param content digest of the request, so that a ticket serves only one
	 * @param now milliseconds since this process started
	 * @return whether it may start
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
	 * Records the final outcome of a started request.
	 * @param ticket the request's ticket
	 * @param outcome the outcome, kept as long as the record
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
	 * Records that a claimed request certainly did not run, so that a later attempt may
	 * start it.
	 * @param ticket the request's ticket
	 */
	public void release(Ticket ticket) {
		RequestRecord existing = this.records.get(ticket.nonce());
		if (existing != null && existing.state == RecordState.RUNNING) {
			existing.state = RecordState.RELEASED;
		}
	}

	/**
	 * Tells what is known of a request without starting it.
	 * @param ticket the request's ticket
	 * @param now milliseconds since this process started
	 * @return the final outcome, {@link CallOutcome.Late} while it runs, or what can be
	 * said without a record
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
	 * Returns the number of records held.
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
	 * Says what is true of an expired ticket without a record: while records of its age
	 * are still kept, it certainly never started; afterwards nobody knows.
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

		/** Claimed by an attempt whose end is not known yet. */
		RUNNING,

		/** Ended; the outcome is final. */
		FINISHED,

		/** Ended before the target could have seen it; may be claimed again. */
		RELEASED

	}

	/**
	 * What is remembered of one request.
	 */
	private static final class RequestRecord {

		private final long nonce;

		private final Digest content;

		/** When it may be dropped, in milliseconds since this process started. */
		private final long dropAt;

		private RecordState state = RecordState.RUNNING;

		/** The final outcome; null unless finished. */
		private CallOutcome outcome;

		RequestRecord(long nonce, Digest content, long dropAt) {
			this.nonce = nonce;
			this.content = content;
			this.dropAt = dropAt;
		}

	}

}
