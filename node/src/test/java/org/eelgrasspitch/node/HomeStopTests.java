package org.eelgrasspitch.node;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import org.eelgrasspitch.fleet.Distribution;
import org.eelgrasspitch.fleet.LifecycleState;
import org.eelgrasspitch.misc.TimeSource;
import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.Guards;
import org.eelgrasspitch.request.Reason;
import org.eelgrasspitch.text.DocumentParser;
import org.eelgrasspitch.text.RouteKey;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A home whose node decides that it may close while a request arrives.
 */
public class HomeStopTests {

	private static final String TEXT = """
			{"mesh": "test", "failureDomains": ["a"], "services": [
			 {"name": "desk", "slots": 1, "connections": 100, "operations": [
			  {"name": "read", "kind": "idempotent", "deadlineMillis": 1000}]}]}
			""";

	/** Points at which the home reads the time while it handles one request. */
	private static final int POINTS = 6;

	private final AcceptedWork work = new AcceptedWork();

	private TargetClient target;

	private NodeState state;

	/** Readings of the time until the node decides; below 1 if it does not. */
	private int readingsLeft;

	/** Whether the node found nothing in progress. */
	private boolean closed;

	@AfterMethod(alwaysRun = true)
	public void close() {
		this.target.close();
	}

	@DataProvider
	public Object[][] points() {
		Object[][] points = new Object[POINTS][1];
		for (int index = 0; index < POINTS; index++) {
			points[index][0] = index + 1;
		}
		return points;
	}

	@Test(dataProvider = "points")
	public void requestIsAcceptedAfterTheCheckThatNothingIsInProgress(int point) {
		HomeService home = home();
		CompletableFuture<CallOutcome> outcome = new CompletableFuture<>();
		this.readingsLeft = point;
		home.handle(new CallMessage.Request(1, "q1", new RouteKey("desk", "read"), 1_000, Optional.empty(),
				Optional.empty(), List.of(), new byte[0], 1), outcome::complete);
		this.readingsLeft = 0;
		boolean refused = outcome.getNow(null) instanceof CallOutcome.NotRun notRun
				&& notRun.reason() == Reason.LEAVING;
		Assert.assertTrue(refused || !this.closed, "accepted, but the node closes");
	}

	private void decide(HomeService home) {
		this.work.endAccepting();
		this.state.setLifecycle(LifecycleState.LEAVING);
		this.closed = this.work.count() == 0;
	}

	private HomeService home() {
		InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
		NodeSettings settings = new NodeSettings("vm-1", "a", "desk", any, any, any, any, any, "http://127.0.0.1:1",
				List.of(), Distribution.DELTAS, 1, 1, 1_000, 1_000, 1_000, Guards.ALL);
		this.target = new TargetClient(settings);
		this.state = new NodeState(1_000, 0);
		this.state.publish(DocumentParser.parseText(1, TEXT.getBytes(StandardCharsets.UTF_8)).get().value());
		this.state.setLifecycle(LifecycleState.SERVING);
		HomeService[] home = new HomeService[1];
		TimeSource time = new TimeSource() {

			@Override
			public long monotonicMillis() {
				if (HomeStopTests.this.readingsLeft > 0 && --HomeStopTests.this.readingsLeft == 0) {
					decide(home[0]);
				}
				return 0;
			}

			@Override
			public long wallMillis() {
				return 0;
			}

		};
		NodeMetrics metrics = new NodeMetrics();
		NodeContext context = new NodeContext(settings, time, 1, 0, this.state, metrics,
				new ObjectiveRecorder(time, metrics), new EventLog(time), this.work);
		home[0] = new HomeService(context, this.target, null, new Random(1));
		return home[0];
	}

}
