package org.eelgrasspitch.mesh;

import java.util.List;
import java.util.SplittableRandom;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Short lookups pipelined behind long reads; they are late if a read is placed by its
 * own, longer objective.
 */
public class PipelineObjectivesTests {

	private static final long READ_OBJECTIVE_MILLIS = 2_500;

	private static final long LOOKUP_OBJECTIVE_MILLIS = 600;

	private final Placement placement = new Placement(new SplittableRandom(11));

	@Test
	public void aReadWithPipelinedLookupsGoesToTheFasterTarget() {
		PipelineObjectives objectives = new PipelineObjectives();
		Assert.assertEquals(chosenTarget(objectives), "near");
		for (int i = 0; i < 20; i++) {
			objectives.recordWithPipelined("read", LOOKUP_OBJECTIVE_MILLIS);
		}
		Assert.assertEquals(chosenTarget(objectives), "far");
		Assert.assertEquals(objectives.objectiveMillis("lookup", LOOKUP_OBJECTIVE_MILLIS), LOOKUP_OBJECTIVE_MILLIS);
	}

	@Test
	public void readsWithoutPipelinedRequestsStayInTheFailureDomain() {
		PipelineObjectives objectives = new PipelineObjectives();
		for (int i = 0; i < 20; i++) {
			objectives.recordWithPipelined("read", LOOKUP_OBJECTIVE_MILLIS);
		}
		for (int i = 0; i < 30; i++) {
			objectives.recordWithoutPipelined("read");
		}
		Assert.assertEquals(chosenTarget(objectives), "near");
	}

	@Test
	public void anExceededObjectiveIsKept() {
		PipelineObjectives objectives = new PipelineObjectives();
		objectives.recordWithPipelined("read", LOOKUP_OBJECTIVE_MILLIS);
		Assert.assertEquals(objectives.objectiveMillis("read", -5), -5);
	}

	private String chosenTarget(PipelineObjectives objectives) {
		TargetLoad idle = new TargetLoad(TargetLoad.State.UP, 1, 0, 9, 0, 500, 0, TargetStatements.NO_LIMIT);
		Candidate near = new Candidate("near", true, idle, 0, 1_200, 0, 0);
		Candidate far = new Candidate("far", false, idle, 0, 500, 0, 0);
		return this.placement.choose(List.of(near, far), objectives.objectiveMillis("read", READ_OBJECTIVE_MILLIS))
			.map(Candidate::id)
			.orElse("");
	}

}
