package org.eelgrasspitch.testkit.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.eelgrasspitch.testkit.Cluster;
import org.eelgrasspitch.testkit.soak.Evidence.Attempt;
import org.eelgrasspitch.testkit.soak.Evidence.Request;

/**
 * A caller that sends requests on a connection of its own and leaves soon, whether it has
 * answers or not. It sends up to a few more than a node takes at a time.
 */
final class DepartingCaller implements Runnable {

	/** What {@link Attempt#end} says of its requests. */
	static final String LEFT = "left";

	private static final int TIMEOUT_MILLIS = 4_000;

	private static final int MAX_STAY_MILLIS = 300;

	private static final int MAX_PIPELINED = 20;

	private final SoakWorld world;

	private final String vm;

	private final Random random;

	DepartingCaller(SoakWorld world, String vm, Random random) {
		this.world = world;
		this.vm = vm;
		this.random = random;
	}

	@Override
	public void run() {
		List<Attempt> attempts = new ArrayList<>();
		try (CallerConnection connection = this.world.connect(this.vm)) {
			int count = (this.random.nextInt(4) > 0) ? 1 + this.random.nextInt(3)
					: 1 + this.random.nextInt(MAX_PIPELINED);
			for (int position = 0; position < count; position++) {
				Request request = SoakCaller.request(this.world, this.random, "GET", count > 1, 0);
				Attempt attempt = this.world.evidence().attempt(request, this.vm, position == 0);
				attempts.add(attempt);
				connection.send(attempt, TIMEOUT_MILLIS, false);
			}
			Cluster.sleep(this.random.nextInt(MAX_STAY_MILLIS));
		}
		catch (IOException ex) {
			// The node is down, or has ended the connection.
			return;
		}
		finally {
			long now = this.world.evidence().now();
			attempts.forEach((attempt) -> {
				attempt.end = LEFT;
				attempt.endMillis = now;
			});
		}
	}

}
