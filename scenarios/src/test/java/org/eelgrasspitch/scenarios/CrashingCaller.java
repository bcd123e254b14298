package org.eelgrasspitch.scenarios;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.eelgrasspitch.testkit.Cluster;
import org.eelgrasspitch.testkit.mesh.RawCaller;

/**
 * A caller that sends a request that crashes servers again and again, while crashed
 * servers are started anew.
 */
final class CrashingCaller {

	private static final long TIMEOUT_MILLIS = 3_000;

	/** Pause after each request, in which nodes find that servers are back. */
	private static final long PAUSE_MILLIS = 700;

	/** Time after which the requests beside the one that crashes a server are sent. */
	private static final long HEAD_START_MILLIS = 50;

	private int nextId;

	/** Status of the last answer. */
	private int lastStatus;

	/** Number of servers that the last series reached. */
	private int reachedServers;

	/**
	 * Sends a series of requests that crash servers.
	 * @param world the deployment
	 * @param vm VM at which they are sent
	 * @param path their path
	 * @param times how many are sent, one after the other
	 * @param beside paths of requests that are sent while each of them runs
	 * @throws IOException if a connection fails
	 */
	void send(PlatformWorld world, String vm, String path, int times, List<String> beside) throws IOException {
		int before = world.startsOf(path);
		for (int i = 0; i < times; i++) {
			RawCaller crashing = open(world, vm, path);
			List<RawCaller> others = new ArrayList<>();
			if (!beside.isEmpty()) {
				Cluster.sleep(HEAD_START_MILLIS);
			}
			for (String other : beside) {
				others.add(open(world, vm, other));
			}
			this.lastStatus = crashing.read().status();
			world.revive();
			for (RawCaller other : others) {
				other.read();
			}
			Cluster.sleep(PAUSE_MILLIS);
		}
		this.reachedServers = world.startsOf(path) - before;
	}

	int lastStatus() {
		return this.lastStatus;
	}

	int reachedServers() {
		return this.reachedServers;
	}

	private RawCaller open(PlatformWorld world, String vm, String path) throws IOException {
		RawCaller caller = world.caller(vm);
		caller.request("GET", PlatformSteps.HOST, path, "crash" + this.nextId++, TIMEOUT_MILLIS, "");
		return caller;
	}

}
