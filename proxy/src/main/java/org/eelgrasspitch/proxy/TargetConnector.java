package org.eelgrasspitch.proxy;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import org.eelgrasspitch.mesh.CrashDetector;
import org.eelgrasspitch.mesh.CrashDetector.Step;
import org.eelgrasspitch.misc.Digest;

/**
 * Opens and keeps the connections to the target on this VM and knows whether the target
 * accepts connections.
 * <p>
 * A target that accepts none is down. It is connected to again
 * {@link #RECONNECT_DELAY_MILLIS} after each failed attempt until one succeeds. When the
 * target closes a connection during a call, {@link CrashDetector} decides whether it has
 * crashed, before the entry node is told, because a request that crashes its target must
 * not be sent to many others.
 */
final class TargetConnector {

	/** Delay before each connection attempt to a target that is down. */
	private static final long RECONNECT_DELAY_MILLIS = 400;

	/** Timeout of a connection attempt to the target, which is on this VM. */
	private static final int CONNECT_TIMEOUT_MILLIS = Bootstraps.CONNECT_TIMEOUT_MILLIS;

	/** Timeout of the connection attempt that shows whether a target is still alive. */
	private static final int CRASH_PROBE_TIMEOUT_MILLIS = 200;

	private final ProxyContext context;

	private final HomeService home;

	private final Bootstrap bootstrap;

	/** Open connections to the target, idle or in use. */
	private final Set<TargetConnection> openConnections = new HashSet<>();

	private final IdleConnections idleConnections = new IdleConnections();

	private final CrashDetector<Suspect, TargetConnection> crashDetector = new CrashDetector<>();

	private boolean down;

	/** Whether this node is closing its connections. */
	private boolean closed;

	/**
	 * Monotonic time in milliseconds at which the target was last found down; 0 if never.
	 */
	private long downSinceMillis;

	TargetConnector(ProxyContext context, HomeService home) {
		this.context = context;
		this.home = home;
		this.bootstrap = Bootstraps.client(context.loop()).option(ChannelOption.ALLOW_HALF_CLOSURE, true);
	}

	/**
	 * Returns whether the target accepts no connections.
	 * @return true from a failed connection attempt until the next successful one
	 */
	boolean isDown() {
		return this.down;
	}

	/**
	 * Supplies a connection for a call, an idle one or a new one.
	 * @param head the call
	 * @param done receives the connection; empty if the target is down
	 */
	void obtain(CallHead head, Consumer<Optional<TargetConnection>> done) {
		TargetConnection idle = this.idleConnections.take(head, this.context.now());
		if (idle != null) {
			done.accept(Optional.of(idle));
			return;
		}
		connect(CONNECT_TIMEOUT_MILLIS, (connection) -> {
			if (connection.isEmpty()) {
				markDown();
			}
			done.accept(connection);
		});
	}

	/**
	 * Draws no more conclusions from connections that end, because this node ends them.
	 */
	void close() {
		this.closed = true;
	}

	void closeIdle() {
		this.idleConnections.closeAll();
	}

	void addIdle(TargetConnection connection) {
		this.idleConnections.add(connection);
	}

	void connectionOpened(TargetConnection connection) {
		this.openConnections.add(connection);
	}

	void connectionClosed(TargetConnection connection) {
		this.openConnections.remove(connection);
		this.idleConnections.remove(connection);
	}

	/**
	 * Records an answer that belongs to no request in progress.
	 * @param answered identifier that the answer echoes; empty if it echoes none
	 * @param status status of the answer; 0 if it is not whole
	 * @param running identifier of the request for whose answer the connection waits;
	 * null if it is idle
	 */
	void strayAnswer(String answered, int status, String running) {
		this.context.metrics().strayAnswer(running != null);
		this.context.log()
			.logNodeEvent(LogEvent.TARGET_STRAY_ANSWER, "address", this.context.settings().targetAddress(), "answers",
					answered, "status", status, "request", (running != null) ? running : "");
	}

	/**
	 * Handles a connection that the target closed during a call. The home is told how the
	 * call ended when it is known whether the target has crashed.
	 * @param call the call
	 */
	void callBroken(HomeCall call) {
		Suspect suspect = new Suspect(call, call.fingerprint());
		if (this.closed) {
			this.home.callsBroken(List.of(suspect));
			return;
		}
		if (this.down) {
			this.home.targetCrashed(List.of(suspect), this.downSinceMillis);
			return;
		}
		perform(this.crashDetector.add(suspect, this.openConnections));
	}

	private void perform(Step step) {
		switch (step) {
			case WAIT -> {
				// The verdict on earlier suspects includes this one.
			}
			case CHECK_LATER -> this.context.loop()
				.schedule(() -> perform(this.crashDetector.check(this.openConnections)),
						CrashDetector.CHECK_DELAY_MILLIS, TimeUnit.MILLISECONDS);
			case CONNECT -> connectToSuspect();
			case FAIL_AS_BROKEN_OFF -> this.home.callsBroken(this.crashDetector.takeSuspects());
		}
	}

	private void connectToSuspect() {
		if (this.down) {
			this.home.targetCrashed(this.crashDetector.takeSuspects(), this.downSinceMillis);
			return;
		}
		connect(CRASH_PROBE_TIMEOUT_MILLIS, (connection) -> {
			if (connection.isPresent()) {
				connection.get().release();
				this.home.callsBroken(this.crashDetector.takeSuspects());
				return;
			}
			markDown();
			this.home.targetCrashed(this.crashDetector.takeSuspects(), this.downSinceMillis);
		});
	}

	private void connect(int timeoutMillis, Consumer<Optional<TargetConnection>> done) {
		this.bootstrap.clone()
			.handler(TargetConnection.initializer(this.home, this))
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
			.connect(this.context.settings().targetAddress())
			.addListener((ChannelFuture future) -> done.accept(Optional.of(future)
				.filter(ChannelFuture::isSuccess)
				.map((opened) -> opened.channel().pipeline().get(TargetConnection.class))));
	}

	private void markDown() {
		if (this.down || this.closed) {
			return;
		}
		this.down = true;
		this.downSinceMillis = this.context.now();
		this.context.log().logNodeEvent(LogEvent.TARGET_DOWN, "address", this.context.settings().targetAddress());
		this.idleConnections.closeAll();
		this.home.stateChanged();
		scheduleReconnect();
	}

	private void scheduleReconnect() {
		this.context.loop().schedule(this::reconnect, RECONNECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void reconnect() {
		connect(CONNECT_TIMEOUT_MILLIS, (opened) -> opened.ifPresentOrElse(this::markUp, this::scheduleReconnect));
	}

	private void markUp(TargetConnection connection) {
		this.down = false;
		this.context.log().logNodeEvent(LogEvent.TARGET_UP, "address", this.context.settings().targetAddress());
		connection.release();
		this.home.stateChanged();
	}

	/**
	 * A call under which the target may have crashed.
	 *
	 * @param call the call
	 * @param fingerprint fingerprint of the request; empty if it has none
	 */
	record Suspect(HomeCall call, Optional<Digest> fingerprint) {

	}

}
