package org.eelgrasspitch.scenarios;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.eelgrasspitch.testkit.Cluster;
import org.eelgrasspitch.testkit.mesh.RawCaller;
import org.eelgrasspitch.testkit.mesh.ServerStandIn;

/**
 * Callers that send one request after the other, each on a connection of its own, until a
 * node has ended.
 */
final class PressingCallers {

	private static final long TIMEOUT_MILLIS = 3_000;

	private static final long PAUSE_MILLIS = 100;

	/** Identifiers of requests whose connection ended without an answer. */
	private final Set<String> unanswered = ConcurrentHashMap.newKeySet();

	void press(PlatformWorld world, int count, String vm, String path) {
		List<Thread> callers = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			String prefix = "press" + i + "-";
			callers.add(Thread.ofVirtual().start(() -> press(world, vm, path, prefix)));
		}
		callers.forEach(PressingCallers::join);
	}

	/**
	 * Sends one request after the other, with pauses, until the node has ended.
	 * @param world the deployment
	 * @param vm VM of the node
	 * @param path path of the requests
	 * @return number of requests whose accepted connection ended without an answer
	 */
	int countCutOff(PlatformWorld world, String vm, String path) {
		int cutOff = 0;
		for (int number = 0; world.readiness(vm) != 0; number++) {
			try (RawCaller each = world.caller(vm)) {
				each.request("GET", PlatformSteps.HOST, path, "pause" + number, TIMEOUT_MILLIS, "");
				cutOff += (each.read().status() == 0) ? 1 : 0;
			}
			catch (IOException ex) {
				// A connection that is not accepted has taken no request.
				return cutOff;
			}
			Cluster.sleep(PAUSE_MILLIS);
		}
		return cutOff;
	}

	/**
	 * Returns the requests that a server received and whose callers got no answer.
	 * @param server the server
	 * @return their identifiers
	 */
	List<String> unansweredAt(ServerStandIn server) {
		return server.received()
			.stream()
			.map((request) -> request.headers().getOrDefault("x-request-id", ""))
			.filter(this.unanswered::contains)
			.toList();
	}

	private void press(PlatformWorld world, String vm, String path, String prefix) {
		for (int number = 0;; number++) {
			String id = prefix + number;
			this.unanswered.add(id);
			try (RawCaller each = world.caller(vm)) {
				each.request("GET", PlatformSteps.HOST, path, id, TIMEOUT_MILLIS, "");
				if (each.read().status() != 0) {
					this.unanswered.remove(id);
				}
			}
			catch (IOException ex) {
				// Not accepted, or reset: counts as unanswered if a server got it.
				if (world.readiness(vm) == 0) {
					return;
				}
			}
		}
	}

	private static void join(Thread thread) {
		try {
			thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
