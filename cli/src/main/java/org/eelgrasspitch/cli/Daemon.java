package org.eelgrasspitch.cli;

import java.util.concurrent.CountDownLatch;

/**
 * Blocks the main thread of commands that run until the process is terminated.
 */
final class Daemon {

	private Daemon() {
	}

	static int runUntilShutdown(AutoCloseable resource) {
		Runtime.getRuntime().addShutdownHook(new Thread(() -> close(resource), "close"));
		return awaitShutdown();
	}

	static int awaitShutdown() {
		try {
			new CountDownLatch(1).await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return ExitCode.OK;
	}

	private static void close(AutoCloseable resource) {
		try {
			resource.close();
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

}
