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
 * Model check that an at-most-once request starts at most once. Runs every sequence of
 * {@link #SEQUENCE_LENGTH} events on one payment: reordered sends and resends, restarts
 * of its home, dispatch delayed by a pause, refusals by the target, and time beyond the
 * lifetimes of the ticket and of the record. {@link RecordTable} never starts the request
 * twice; two simpler rules do, which shows that the sequences cover these failures.
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
	 * Events of a sequence.
	 */
	private enum Event {

		/** The caller sends or resends the request; the message is in flight. */
		SEND,

		/** The newest message in flight arrives before the older ones. */
		DELIVER,

		/** The home sends a claimed request to the target, possibly after a pause. */
		DISPATCH,

		/** The target refuses the claimed request, which therefore does not start. */
		REFUSE,

		/** The running request ends with an unknown outcome. */
		FINISH,

		/** A new process replaces the home's process. */
		REPLACE,

		/** One ticket lifetime passes. */
		WAIT

	}

	/**
	 * Rule under test: decides whether a request may start.
	 */
	private interface StartRule {

		boolean tryStart(long now);

		void onEnded(boolean started);

		void onReplaced();

	}

	/**
	 * Simulates one payment with its messages and its home.
	 */
	private static final class Simulation {

		private final StartRule rule;

		/** Messages in flight. */
		private final Deque<Integer> messages = new ArrayDeque<>();

		private int sent;

		/**
		 * True if the home has claimed the request and not yet sent it to the target.
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
			this.claimed |= this.rule.tryStart(this.now);
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
	 * The rule of {@link RecordTable}.
	 */
	private static final class RecordTableRule implements StartRule {

		private long incarnation = 1;

		private RecordTable table = table();

		private final Ticket ticket = this.table.issue(1, 0).get(0);

		@Override
		public boolean tryStart(long now) {
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
	 * Starts every request that has no record and checks neither the incarnation nor the
	 * expiry of the ticket. It either loses its records when the process is replaced, or
	 * keeps them across the replacement and drops them after one ticket lifetime.
	 */
	private static final class NaiveRule implements StartRule {

		private final boolean dropsOldRecords;

		private final Set<Integer> records = new HashSet<>();

		private long recordedAt;

		NaiveRule(boolean dropsOldRecords) {
			this.dropsOldRecords = dropsOldRecords;
		}

		@Override
		public boolean tryStart(long now) {
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
