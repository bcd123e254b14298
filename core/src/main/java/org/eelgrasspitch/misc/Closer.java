package org.eelgrasspitch.misc;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Gathers resources while something is being built and closes them in reverse order. When
 * closing one fails, the rest are still closed and the failures are thrown together at
 * the end.
 * <p>
 * Typical use: a class that owns several resources registers each one right after it was
 * opened; its own {@code close} delegates to the closer, and so does its constructor when
 * a later step fails.
 */
public final class Closer implements AutoCloseable {

	/** Open resources, the newest first; empty once closed. */
	private final Deque<AutoCloseable> resources = new ArrayDeque<>();

	/**
	 * Takes ownership of a resource.
	 * @param <T> type of the resource
	 * @param resource the resource to close later
	 * @return the same resource
	 */
	public synchronized <T extends AutoCloseable> T register(T resource) {
		this.resources.push(resource);
		return resource;
	}

	@Override
	public synchronized void close() {
		RuntimeException failure = null;
		while (!this.resources.isEmpty()) {
			failure = closeNext(failure);
		}
		if (failure != null) {
			throw failure;
		}
	}

	private RuntimeException closeNext(RuntimeException failure) {
		try {
			this.resources.pop().close();
			return failure;
		}
		catch (Exception ex) {
			RuntimeException combined = (failure != null) ? failure : new IllegalStateException("close failed");
			combined.addSuppressed(ex);
			return combined;
		}
	}

}
