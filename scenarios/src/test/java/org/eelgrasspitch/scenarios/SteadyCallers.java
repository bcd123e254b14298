package org.eelgrasspitch.scenarios;

import java.io.IOException;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.eelgrasspitch.testkit.Cluster;
import org.eelgrasspitch.testkit.mesh.RawCaller;
import org.eelgrasspitch.testkit.mesh.RawCaller.Response;
import org.eelgrasspitch.testkit.mesh.ServerStandIn;

/**
 * Callers that send requests at a fixed rate, each on a connection of its own, whether or
 * not earlier ones were answered.
 */
final class SteadyCallers {

	private static final long TIMEOUT_MILLIS = 3_000;

	private final Queue<Sent> ended = new ConcurrentLinkedQueue<>();

	private final AtomicInteger nextId = new AtomicInteger();

	private volatile boolean stopped;

	/**
	 * Starts to send.
	 * @param world the deployment
	 * @param vm VM of the callers
	 * @param path path of the requests
	 * @param perSecond requests per second
	 */
	void start(PlatformWorld world, String vm, String path, int perSecond) {
		Thread.ofVirtual().start(() -> {
			long startedAt = System.nanoTime();
			for (int sent = 0; !this.stopped; sent++) {
				String id = "steady" + this.nextId.getAndIncrement();
				Thread.ofVirtual().start(() -> send(world, vm, path, id));
				long nextAt = startedAt + (sent + 1) * TimeUnit.SECONDS.toNanos(1) / perSecond;
				Cluster.sleep(Math.max(0, TimeUnit.NANOSECONDS.toMillis(nextAt - System.nanoTime())));
			}
		});
	}

	void stop() {
		this.stopped = true;
	}

	/**
	 * Returns the requests that have ended.
	 * @return the requests in the order of their ends
	 */
	List<Sent> ended() {
		return List.copyOf(this.ended);
	}

	private void send(PlatformWorld world, String vm, String path, String id) {
		long sentAt = ServerStandIn.now();
		try (RawCaller caller = world.caller(vm)) {
			caller.request("GET", PlatformSteps.HOST, path, id, TIMEOUT_MILLIS, "");
			Response response = caller.read();
			this.ended.add(new Sent(vm, id, sentAt, ServerStandIn.now(), response));
		}
		catch (IOException ex) {
			// The node of this VM is down; the request counts as not answered.
			return;
		}
	}

	/**
	 * A request and its response.
	 *
	 * @param vm VM at which it began
	 * @param id its identifier
	 * @param sentAtMillis when it was sent
	 * @param answeredAtMillis when its response had arrived
	 * @param response the response
	 */
	record Sent(String vm, String id, long sentAtMillis, long answeredAtMillis, Response response) {

	}

}
