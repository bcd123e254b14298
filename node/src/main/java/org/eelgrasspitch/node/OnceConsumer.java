package org.eelgrasspitch.node;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * Passes the first value to a delegate and ignores later ones. Thread-safe.
 *
 * @param <T> type of the value
 */
final class OnceConsumer<T> implements Consumer<T> {

	private final AtomicBoolean done = new AtomicBoolean();

	private final Consumer<T> delegate;

	OnceConsumer(Consumer<T> delegate) {
		this.delegate = delegate;
	}

	@Override
	public void accept(T value) {
		if (this.done.compareAndSet(false, true)) {
			this.delegate.accept(value);
		}
	}

	boolean isDone() {
		return this.done.get();
	}

}
