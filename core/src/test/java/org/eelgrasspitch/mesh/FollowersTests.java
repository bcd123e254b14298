package org.eelgrasspitch.mesh;

import java.util.List;
import java.util.SplittableRandom;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Callers that send short lookups behind long reads.
 */
public class FollowersTests {

	private static final long READ_OBJECTIVE = 2_500;

	private static final long LOOKUP_OBJECTIVE = 600;

	private final Placement placement = new Placement(new SplittableRandom(11));

	@Test
	public void aReadThatDelaysLookupsGoesToTheQuickTarget() {
		Followers followers = new Followers();
		Assert.assertEquals(placed(followers), "near");
		for (int i = 0; i < 20; i++) {
			followers.endedFollowed("read", LOOKUP_OBJECTIVE);
		}
		Assert.assertEquals(placed(followers), "far");
		Assert.assertEquals(followers.objectiveMillis("lookup", LOOKUP_OBJECTIVE), LOOKUP_OBJECTIVE);
	}

	@Test
	public void readsThatNobodyWaitsForStayNear() {
		Followers followers = new Followers();
		for (int i = 0; i < 20; i++) {
			followers.endedFollowed("read", LOOKUP_OBJECTIVE);
		}
		for (int i = 0; i < 30; i++) {
			followers.endedAlone("read");
		}
		Assert.assertEquals(placed(followers), "near");
	}

	@Test
	public void aLateRequestStaysLate() {
		Followers followers = new Followers();
		followers.endedFollowed("read", LOOKUP_OBJECTIVE);
		Assert.assertEquals(followers.objectiveMillis("read", -5), -5);
	}

	private String placed(Followers followers) {
		HomeLoad idle = new HomeLoad(HomeLoad.State.UP, 1, 0, 9, 0, 500, 0);
		Candidate near = new Candidate("near", true, idle, 0, 1_200, 0, 0);
		Candidate far = new Candidate("far", false, idle, 0, 500, 0, 0);
		return this.placement.choose(List.of(near, far), followers.objectiveMillis("read", READ_OBJECTIVE))
			.map(Candidate::id)
			.orElse("");
	}

}
