package org.eelgrasspitch.node;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * All work that this node has accepted, in either role, and has not finished. The stop of
 * the node is decided from this state only.
 * <p>
 * Work is added before it is checked whether the node still accepts. So once accepting
 * has ended and no item is left, no request is accepted that the check has missed.
 * <p>
 * Thread-safe.
 */
final class AcceptedWork {

	/** Unfinished items in the order of their begin; guarded by this object's lock. */
	private final Set<Item> items = new LinkedHashSet<>();

	private volatile boolean accepting = true;

	/**
	 * Adds an item.
	 * @return the item, to be ended when its answer has been handed over
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

	synchronized int count() {
		return this.items.size();
	}

	/**
	 * One piece of accepted work.
	 */
	final class Item {

		void end() {
			synchronized (AcceptedWork.this) {
				AcceptedWork.this.items.remove(this);
			}
		}

	}

}
