package org.eelgrasspitch;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.ClaimResult;
import org.eelgrasspitch.request.Reason;
import org.eelgrasspitch.request.RecordTable;
import org.eelgrasspitch.request.Ticket;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Plays every sequence of events up to a fixed length on one payment and counts how often
 * it starts: sends and resends that cross, deaths of its home, late dispatch after a
 * pause, refusals by the target, and the passing of time beyond the ticket's life and
 * beyond the record's life. The rule of {@link RecordTable} never starts it twice; two
 * simpler rules do.
 */
public class AtMostOnceExplorationTests {

	private static final int SEQUENCE_LENGTH = 8;

	private static final Digest CONTENT = Digest.of(new byte[] { 1 });

	@Test
	public void recordTableNeverStartsTwice() {
		Assert.assertEquals(maxStarts(RecordTableRule::new), 1);
	}

	@Test
	public void emptyTableAfterRestartStartsTwice() {
		Assert.assertTrue(maxStarts(() -> new NaiveRule(false)) > 1);
	}

	@Test
	public void droppingRecordsWithoutTicketExpiryStartsTwice() {
		Assert.assertTrue(maxStarts(() -> new NaiveRule(true)) > 1);
	}

	private static int maxStarts(Supplier<StartRule> rule) {
		int events = Event.values().length;
		long sequences = (long) Math.pow(events, SEQUENCE_LENGTH);
		int maximum = 0;
		for (long sequence = 0; sequence < sequences; sequence++) {
			maximum = Math.max(maximum, starts(rule.get(), sequence, events));
		}
		return maximum;
	}

	private static int starts(StartRule rule, long sequence, int events) {
		Simulation simulation = new Simulation(rule);
		long remainder = sequence;
		for (int step = 0; step < SEQUENCE_LENGTH; step++) {
			simulation.apply(Event.values()[(int) (remainder % events)]);
			remainder /= events;
		}
		return simulation.starts;
	}

	/**
	 * What may happen.
	 */
	private enum Event {

		/** The caller sends or resends; the message is in flight. */
		SEND,

		/** The newest message in flight arrives, overtaking older ones. */
		DELIVER,

		/** The home, perhaps after a pause, sends a claimed request to its target. */
		DISPATCH,

		/** The target refuses before it starts; only possible instead of a start. */
		REFUSE,

		/** The running request ends. */
		FINISH,

		/** The home's process is replaced by a new one. */
		REPLACE,

		/** A ticket life passes. */
		WAIT

	}

	/**
	 * Decides whether a request may start.
	 */
	private interface StartRule {

		boolean mayStart(long now);

		void onEnded(boolean started);

		void onReplaced();

	}

	/**
	 * One payment, its messages and its home.
	 */
	private static final class Simulation {

		private final StartRule rule;

		/** Messages in flight. */
		private final Deque<Integer> messages = new ArrayDeque<>();

		private int sent;

		/**
		 * True when the home has claimed the request and not yet sent it to the target.
		 */
		private boolean claimed;

		private int starts;

		private long now;

		Simulation(StartRule rule) {
			this.rule = rule;
		}

		void apply(Event event) {
			switch (event) {
				case SEND -> this.messages.push(this.sent++);
				case DELIVER -> deliver();
				case DISPATCH -> dispatch();
				case REFUSE -> refuse();
				case FINISH -> this.rule.onEnded(true);
				case REPLACE -> {
					this.claimed = false;
					this.rule.onReplaced();
				}
				case WAIT -> this.now += RecordTable.TICKET_LIFETIME_MILLIS;
			}
		}

		private void deliver() {
			if (this.messages.isEmpty()) {
				return;
			}
			this.messages.pop();
			this.claimed |= this.rule.mayStart(this.now);
		}

		private void dispatch() {
			if (this.claimed) {
				this.starts++;
				this.claimed = false;
			}
		}

		private void refuse() {
			if (this.claimed) {
				this.claimed = false;
				this.rule.onEnded(false);
			}
		}

	}

	/**
	 * The rule of the record table.
	 */
	private static final class RecordTableRule implements StartRule {

		private long incarnation = 1;

		private RecordTable table = table();

		private final Ticket ticket = this.table.issue(1, 0).get(0);

		@Override
		public boolean mayStart(long now) {
			return this.table.claim(this.ticket, CONTENT, now) instanceof ClaimResult.Start;
		}

		@Override
		public void onEnded(boolean started) {
			if (started) {
				this.table.finish(this.ticket, new CallOutcome.Unknown(Reason.ANSWER_LOST));
				return;
			}
			this.table.release(this.ticket);
		}

		@Override
		public void onReplaced() {
			this.incarnation++;
			this.table = table();
		}

		private RecordTable table() {
			return new RecordTable("vm", new InetSocketAddress(1), this.incarnation, 9, new SplittableRandom(1));
		}

	}

	/**
	 * Starts whatever it has no record of. It either loses its records when its process
	 * is replaced, or it keeps them over that but drops them after a ticket life.
	 */
	private static final class NaiveRule implements StartRule {

		private final boolean dropsOldRecords;

		private final Set<Integer> records = new HashSet<>();

		private long recordedAt;

		NaiveRule(boolean dropsOldRecords) {
			this.dropsOldRecords = dropsOldRecords;
		}

		@Override
		public boolean mayStart(long now) {
			if (this.dropsOldRecords && now - this.recordedAt >= RecordTable.TICKET_LIFETIME_MILLIS) {
				this.records.clear();
			}
			this.recordedAt = this.records.isEmpty() ? now : this.recordedAt;
			return this.records.add(1);
		}

		@Override
		public void onEnded(boolean started) {
			if (!started) {
				this.records.clear();
			}
		}

		@Override
		public void onReplaced() {
			if (!this.dropsOldRecords) {
				this.records.clear();
			}
		}

	}

}
