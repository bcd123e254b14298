package org.eelgrasspitch.testkit;

import java.net.InetSocketAddress;

import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.Server;
import io.jooby.ServerOptions;

/**
 * HTTP server of a stand-in. Handlers run on the event loop and must not block.
 */
final class StandInServer implements AutoCloseable {

	private static final int THREADS = 2;

	private static final int MAX_REQUEST_BYTES = 4 * 1024 * 1024;

	private final Server server;

	StandInServer(Jooby app, InetSocketAddress address) {
		app.setExecutionMode(ExecutionMode.EVENT_LOOP);
		ServerOptions options = new ServerOptions().setPort(address.getPort())
			.setIoThreads(THREADS)
			.setWorkerThreads(THREADS)
			.setMaxRequestSize(MAX_REQUEST_BYTES);
		options.setHost(address.getAddress().getHostAddress());
		app.setServerOptions(options);
		this.server = app.start();
	}

	@Override
	public void close() {
		this.server.stop();
	}

}
