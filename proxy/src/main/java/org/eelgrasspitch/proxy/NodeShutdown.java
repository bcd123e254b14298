package org.eelgrasspitch.proxy;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.ScheduledFuture;
import org.eelgrasspitch.mesh.StopSequence;
import org.eelgrasspitch.mesh.StopSequence.Stage;
import org.eelgrasspitch.mesh.StopSequence.Work;
import org.eelgrasspitch.misc.EnumNames;

/**
 * Carries out the planned stop of a node as {@link StopSequence} decides. It runs on the
 * event loop that accepts requests and calls, so that nothing can be accepted between a
 * decision and the step that follows from it.
 */
final class NodeShutdown {

	/** Interval at which the stop is advanced. */
	private static final long CHECK_INTERVAL_MILLIS = 25;

	/** Time beyond the latest close after which the event loop counts as blocked. */
	private static final long BLOCKED_LOOP_MILLIS = 100;

	private final ProxyContext context;

	private final EntryServer server;

	private final EntryService entry;

	private final HomeService home;

	private final LinkManager links;

	private final StopSequence stop;

	private final long startedAtMillis;

	private final CountDownLatch closable = new CountDownLatch(1);

	private ScheduledFuture<?> check;

	private Stage stage = Stage.LEAVING;

	NodeShutdown(ProxyContext context, EntryServer server, EntryService entry, HomeService home, LinkManager links) {
		this.context = context;
		this.server = server;
		this.entry = entry;
		this.home = home;
		this.links = links;
		this.startedAtMillis = context.now();
		this.stop = new StopSequence(context.settings().stopMillis(), this.startedAtMillis);
	}

	/**
	 * Runs the stop. Blocks until the node may close, at most for the time to stop.
	 */
	void run() {
		this.context.loop().execute(this::begin);
		try {
			long waitMillis = this.stop.closesAtMillis() + BLOCKED_LOOP_MILLIS - this.context.now();
			if (!this.closable.await(waitMillis, TimeUnit.MILLISECONDS)) {
				this.context.log()
					.logNodeEvent(LogEvent.NODE_STOPPED, "in_progress", "unknown: the event loop does not answer");
			}
		}
		catch (InterruptedException ex) {
			// The thread that stops the node is to end, so the node closes at once.
			Thread.currentThread().interrupt();
		}
	}

	private void begin() {
		this.context.log()
			.logNodeEvent(LogEvent.NODE_STOPPING, "calls", this.home.callsInProgress(), "requests",
					this.entry.activeRequests());
		this.entry.beginStop(this.stop);
		this.home.beginStop(this.stop);
		this.check = this.context.loop()
			.scheduleAtFixedRate(this::advance, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void advance() {
		long now = this.context.now();
		Stage former = this.stage;
		this.stage = this.stop.advance(work(), now);
		if (!this.stop.acceptsCalls(now)) {
			attempt(this.home::leave);
		}
		if (now - this.startedAtMillis >= this.stop.callerDrainMillis()) {
			attempt(this.server::closeIdle);
		}
		if (this.stage == former) {
			return;
		}
		switch (this.stage) {
			case LEAVING, REFUSING -> {
				// Both roles ask the sequence, or were told above, what they accept.
			}
			case ANSWERING -> {
				attempt(this.home::refuseUnstarted);
				attempt(this.server::answerBeforeClose);
			}
			case CLOSING -> {
				attempt(this.server::stopAccepting);
				attempt(this.links::endConnections);
			}
			case CLOSED -> finish();
		}
	}

	private Work work() {
		int ended = this.server.endedConnections() + this.links.endedConnections();
		return new Work(this.entry.activeRequests(), this.home.callsInProgress(),
				this.server.waitingBytes() + this.links.waitingBytes(), ended);
	}

	/**
	 * Takes a step. One that fails is logged and does not keep the node from the others.
	 */
	private void attempt(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException ex) {
			this.context.log()
				.logNodeEvent(LogEvent.STOP_STEP_FAILED, "stage", EnumNames.lowerCase(this.stage), "cause",
						String.valueOf(ex));
		}
	}

	private void finish() {
		this.check.cancel(false);
		attempt(this.home::close);
		int requests = this.entry.activeRequests();
		int calls = this.home.callsInProgress();
		this.context.log()
			.logNodeEvent(LogEvent.NODE_STOPPED, "in_progress", requests + calls, "requests", requests, "calls", calls,
					"link_bytes", this.links.waitingBytes(), "caller_bytes", this.server.waitingBytes(), "took_ms",
					this.context.now() - this.startedAtMillis);
		this.closable.countDown();
	}

}
