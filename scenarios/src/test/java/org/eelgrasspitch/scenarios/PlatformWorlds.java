package org.eelgrasspitch.scenarios;

/**
 * Gives all step classes of one scenario the same {@link PlatformWorld}. Scenarios run
 * one after the other.
 */
final class PlatformWorlds {

	private static PlatformWorld current;

	private PlatformWorlds() {
	}

	static synchronized PlatformWorld current() {
		return current;
	}

	static synchronized void replace(PlatformWorld world) {
		current = world;
	}

}
