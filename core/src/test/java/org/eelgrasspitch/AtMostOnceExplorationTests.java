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
import org.eelgrasspitch.request.Claim;
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

	private static final int LENGTH = 8;

	private static final Digest CONTENT = Digest.of(new byte[] { 1 });

	@Test
	public void recordTableNeverStartsTwice() {
		Assert.assertEquals(mostStarts(TableRule::new), 1);
	}

	@Test
	public void trustingAnEmptyTableAfterRestartStartsTwice() {
		Assert.assertTrue(mostStarts(() -> new NaiveRule(false)) > 1);
	}

	@Test
	public void forgettingRecordsWithoutExpiryStartsTwice() {
		Assert.assertTrue(mostStarts(() -> new NaiveRule(true)) > 1);
	}

	private static int mostStarts(Supplier<Rule> rule) {
		int events = Event.values().length;
		long sequences = (long) Math.pow(events, LENGTH);
		int most = 0;
		for (long sequence = 0; sequence < sequences; sequence++) {
			most = Math.max(most, starts(rule.get(), sequence, events));
		}
		return most;
	}

	private static int starts(Rule rule, long sequence, int events) {
		World world = new World(rule);
		long rest = sequence;
		for (int step = 0; step < LENGTH; step++) {
			world.play(Event.values()[(int) (rest % events)]);
			rest /= events;
		}
		return world.starts;
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
	private interface Rule {

		boolean mayStart(long now);

		void ended(boolean started);

		void replaced();

	}

	/**
	 * One payment, its messages and its home.
	 */
	private static final class World {

		private final Rule rule;

		/** Messages in flight. */
		private final Deque<Integer> messages = new ArrayDeque<>();

		private int sent;

		/**
		 * True when the home has claimed the request and not yet sent it to the target.
		 */
		private boolean claimed;

		private int starts;

		private long now;

		World(Rule rule) {
			this.rule = rule;
		}

		void play(Event event) {
			switch (event) {
				case SEND -> this.messages.push(this.sent++);
				case DELIVER -> deliver();
				case DISPATCH -> dispatch();
				case REFUSE -> refuse();
				case FINISH -> this.rule.ended(true);
				case REPLACE -> {
					this.claimed = false;
					this.rule.replaced();
				}
				case WAIT -> this.now += RecordTable.TICKET_LIFE_MILLIS;
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
				this.rule.ended(false);
			}
		}

	}

	/**
	 * The rule of the record table.
	 */
	private static final class TableRule implements Rule {

		private long incarnation = 1;

		private RecordTable table = table();

		private final Ticket ticket = this.table.issue(1, 0).get(0);

		@Override
		public boolean mayStart(long now) {
			return this.table.claim(this.ticket, CONTENT, now) instanceof Claim.Start;
		}

		@Override
		public void ended(boolean started) {
			if (started) {
				this.table.finish(this.ticket, new CallOutcome.Unknown(Reason.ANSWER_LOST));
				return;
			}
			this.table.release(this.ticket);
		}

		@Override
		public void replaced() {
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
	private static final class NaiveRule implements Rule {

		private final boolean forgetful;

		private final Set<Integer> records = new HashSet<>();

		private long recordedAt;

		NaiveRule(boolean forgetful) {
			this.forgetful = forgetful;
		}

		@Override
		public boolean mayStart(long now) {
			if (this.forgetful && now - this.recordedAt >= RecordTable.TICKET_LIFE_MILLIS) {
				this.records.clear();
			}
			this.recordedAt = this.records.isEmpty() ? now : this.recordedAt;
			return this.records.add(1);
		}

		@Override
		public void ended(boolean started) {
			if (!started) {
				this.records.clear();
			}
		}

		@Override
		public void replaced() {
			if (!this.forgetful) {
				this.records.clear();
			}
		}

	}

}
