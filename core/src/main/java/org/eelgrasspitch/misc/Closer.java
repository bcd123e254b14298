package org.eelgrasspitch.misc;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Collects resources and closes them in reverse order of registration. If closing one
 * fails, the others are still closed; the failures are then thrown as the suppressed
 * exceptions of one {@link IllegalStateException}.
 * <p>
 * A class that owns several resources registers each one as soon as it is open. Its
 * {@code close} method delegates to the closer, and so does its constructor if a later
 * step fails.
 */
public final class Closer implements AutoCloseable {

	/** Open resources, most recently registered first; empty after close. */
	private final Deque<AutoCloseable> resources = new ArrayDeque<>();

	/**
	 * Registers a resource to be closed by this closer. A resource that is registered
	 * after {@link #close} stays open until the next call of {@code close}.
	 * @param <T> the resource type
	 * @param resource the open resource
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
			RuntimeException combined = (failure != null) ? failure
					: new IllegalStateException("failed to close resources");
			combined.addSuppressed(ex);
			return combined;
		}
	}

}
