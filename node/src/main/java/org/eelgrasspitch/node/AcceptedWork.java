package org.eelgrasspitch.node;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * All work that this node has accepted, in either role, and has not finished. The stop of
 * the node is decided from this state only.
 * <p>
 * Work is added before it is checked whether the node still accepts. So once accepting
 * has ended and no item is left, no request is accepted that the check has missed. When
 * the time to stop is over, each item sends its last answer.
 * <p>
 * Thread-safe.
 */
final class AcceptedWork {

	/** Unfinished items in the order of their begin; guarded by this object's lock. */
	private final Set<Item> items = new LinkedHashSet<>();

	private volatile boolean accepting = true;

	private volatile boolean timeOver;

	/**
	 * Monotonic time in milliseconds at which the last answers are due;
	 * {@link Long#MAX_VALUE} while the node does not stop.
	 */
	private volatile long endAtMillis = Long.MAX_VALUE;

	/**
	 * Adds an item.
	 * @return the item, to be ended when its answer has been written
	 */
	synchronized Item begin() {
		Item item = new Item();
		this.items.add(item);
		return item;
	}

	/**
	 * Tells whether the node accepts requests. An item must be begun before the check.
	 * @return false once {@link #endAccepting} was called
	 */
	boolean isAccepting() {
		return this.accepting;
	}

	void endAccepting() {
		this.accepting = false;
	}

	/**
	 * Sets when the last answers are due. Work that is expected to take longer must not
	 * be started any more.
	 * @param newEndAtMillis the time, in monotonic milliseconds
	 */
	void setEnd(long newEndAtMillis) {
		this.endAtMillis = newEndAtMillis;
	}

	long endAtMillis() {
		return this.endAtMillis;
	}

	/**
	 * Tells whether nothing new may be started because the time to stop is over.
	 * @return true once {@link #sendLastAnswers} was called
	 */
	boolean isTimeOver() {
		return this.timeOver;
	}

	synchronized int count() {
		return this.items.size();
	}

	/**
	 * Sends the last answer of each unfinished item. The latest item is first: a request
	 * that this node runs for a caller of its own is answered as home before it is
	 * answered as entry node, because the home knows whether it has run.
	 */
	void sendLastAnswers() {
		List<Item> unfinished;
		synchronized (this) {
			this.timeOver = true;
			unfinished = new ArrayList<>(this.items);
		}
		Collections.reverse(unfinished);
		unfinished.forEach(Item::sendLastAnswer);
	}

	/**
	 * One piece of accepted work.
	 */
	final class Item {

		/** Guarded by the lock of {@link AcceptedWork}. */
		private Runnable lastAnswer = () -> {
		};

		/**
		 * Sets the last answer in place of the previous one; it is sent at once if the
		 * time to stop is over.
		 * @param answer sends the answer unless another one was sent
		 */
		void setLastAnswer(Runnable answer) {
			synchronized (AcceptedWork.this) {
				this.lastAnswer = answer;
				if (!AcceptedWork.this.timeOver) {
					return;
				}
			}
			answer.run();
		}

		void end() {
			synchronized (AcceptedWork.this) {
				AcceptedWork.this.items.remove(this);
			}
		}

		private void sendLastAnswer() {
			Runnable answer;
			synchronized (AcceptedWork.this) {
				answer = this.lastAnswer;
			}
			answer.run();
		}

	}

}
