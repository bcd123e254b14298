package org.eelgrasspitch.scenarios;

/**
 * Gives all step classes of one scenario the same {@link World}. Scenarios run one after
 * the other.
 */
final class Worlds {

	private static World current;

	private Worlds() {
	}

	static synchronized World current() {
		if (current == null) {
			current = new World();
		}
		return current;
	}

	static synchronized void end() {
		if (current != null) {
			current.close();
		}
		current = null;
	}

}
