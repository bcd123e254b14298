package org.eelgrasspitch.node;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.eelgrasspitch.fleet.Distribution;
import org.eelgrasspitch.fleet.LifecycleState;
import org.eelgrasspitch.misc.TimeSource;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.Guards;
import org.eelgrasspitch.request.Reason;
import org.eelgrasspitch.text.RouteKey;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * An entry node that stops with a request that waits for the confirmation of the text.
 */
public class EntryStopTests {

	private final List<EntryReply> replies = new ArrayList<>();

	// The control thread confirmed nothing more, and the node closed.
	@Test
	public void deferredRequestIsNotRefusedAtTheEnd() {
		AcceptedWork work = new AcceptedWork();
		NodeState state = new NodeState(1_000, 0);
		state.setLifecycle(LifecycleState.CONFIRMING);
		EntryService entry = entry(work, state);
		AcceptedWork.Item item = work.begin();
		entry.handle(new CallerRequest("q1", new RouteKey("desk", "read"), Optional.empty(), Optional.empty(), true,
				Optional.empty(), 0, List.of(), new byte[0]), item, this.replies::add);
		Assert.assertEquals(this.replies.size(), 0);
		Assert.assertEquals(work.count(), 1, "requests for which the stop waits");
		work.endAccepting();
		work.sendLastAnswers();
		state.setLifecycle(LifecycleState.LEAVING);
		state.recordActivity(0);
		Assert.assertEquals(this.replies.size(), 1, "replies");
		Assert.assertTrue(this.replies.getFirst() instanceof EntryReply.WithOutcome reply
				&& reply.outcome() instanceof CallOutcome.NotRun refusal && refusal.reason() == Reason.LEAVING);
	}

	private static EntryService entry(AcceptedWork work, NodeState state) {
		InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
		NodeSettings settings = new NodeSettings("vm-1", "a", "desk", any, any, any, any, any, "http://127.0.0.1:1",
				List.of(), Distribution.DELTAS, 1, 1, 1_000, 1_000, 1_000, Guards.ALL);
		TimeSource time = new TimeSource() {

			@Override
			public long monotonicMillis() {
				return 0;
			}

			@Override
			public long wallMillis() {
				return 0;
			}

		};
		NodeMetrics metrics = new NodeMetrics();
		NodeContext context = new NodeContext(settings, time, 1, 0, state, metrics,
				new ObjectiveRecorder(time, metrics), new EventLog(time), work);
		return new EntryService(context, null, null, null, (revision) -> {
		}, new Random(1));
	}

}
