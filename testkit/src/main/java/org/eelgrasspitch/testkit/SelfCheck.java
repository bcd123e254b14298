package org.eelgrasspitch.testkit;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.eelgrasspitch.misc.Addresses;
import org.eelgrasspitch.misc.Closer;
import org.eelgrasspitch.node.Node;
import org.eelgrasspitch.node.NodeSettings;
import org.eelgrasspitch.node.SettingsParser;
import org.eelgrasspitch.text.Channel;

/**
 * Checks that a machine can run the system: runs a platform, a target and a node in this
 * process on {@code 127.99.0.x}, sends a request and obtains a ticket.
 */
public final class SelfCheck {

	private static final String SETTINGS = """
			{"vm": "self", "failureDomain": "here", "service": "echo", "peerAddress": "127.99.0.2:7400",
			 "callerAddress": "127.99.0.2:7401", "operatorAddress": "127.99.0.2:7402",
			 "targetAddress": "127.99.0.2:7403", "platformUrl": "http://127.99.0.1:7000"}""";

	private static final String TEXT = """
			{"mesh": "self", "failureDomains": ["here"], "services": [{"name": "echo", "slots": 2, "connections": 2,
			 "operations": [{"name": "read", "kind": "idempotent", "deadlineMillis": 1000},
			 {"name": "pay", "kind": "at-most-once", "deadlineMillis": 1000}]}]}""";

	private static final String VMS = """
			{"vms": [{"name": "self", "failureDomain": "here", "service": "echo", "address": "127.99.0.2:7400",
			 "state": "live"}]}""";

	private static final long START_TIMEOUT_MILLIS = 10_000;

	private static final int OK = 200;

	private SelfCheck() {
	}

	/**
	 * Runs the check.
	 * @return true when both succeeded within about 10 s
	 */
	public static boolean run() {
		NodeSettings settings = SettingsParser.parse(SETTINGS.getBytes(StandardCharsets.UTF_8)).get();
		try (Closer closer = new Closer()) {
			PlatformStandIn platform = closer
				.register(new PlatformStandIn(Addresses.parse("127.99.0.1:7000").orElseThrow()));
			platform.publish(Channel.VMS, VMS.getBytes(StandardCharsets.UTF_8));
			platform.publish(Channel.TEXT, TEXT.getBytes(StandardCharsets.UTF_8));
			closer
				.register(new TargetStandIn(new TargetStandIn.Options("self", settings.targetAddress(), 2, 2, 1, 0, 0),
						TargetStandIn.newExecutions(), () -> {
						}));
			closer.register(Node.start(settings));
			HttpCaller caller = closer.register(new HttpCaller(START_TIMEOUT_MILLIS));
			return Cluster.eventually(START_TIMEOUT_MILLIS, () -> isAnswered(caller, settings));
		}
	}

	private static boolean isAnswered(HttpCaller caller, NodeSettings settings) {
		Optional<HttpCaller.CallResponse> answer = caller.call(settings.callerAddress(),
				HttpCaller.CallSpec.of("echo", "read", "self-check"));
		return answer.filter((response) -> response.status() == OK).isPresent()
				&& !caller.tickets(settings.callerAddress(), "echo", "pay", 1).isEmpty();
	}

}
