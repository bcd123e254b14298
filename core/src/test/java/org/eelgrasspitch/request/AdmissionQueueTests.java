package org.eelgrasspitch.request;

import java.util.ArrayList;
import java.util.List;

import org.eelgrasspitch.mesh.TargetStatements;
import org.eelgrasspitch.text.Priority;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Work for a target that has named a limit. The load is four times the limit.
 */
public class AdmissionQueueTests {

	private static final int SLOTS = 10;

	private static final int CAPACITY = 20;

	private static final Priority LOWEST = Priority.values()[0];

	private static final Priority HIGHEST = Priority.values()[Priority.values().length - 1];

	private final List<String> started = new ArrayList<>();

	private final List<String> shed = new ArrayList<>();

	@BeforeMethod
	public void clear() {
		this.started.clear();
		this.shed.clear();
	}

	@Test
	public void workIsStartedAtTheLimit() {
		AdmissionQueue<String> queue = new AdmissionQueue<>();
		queue.setLimit(10, 0, 0);
		long now = 0;
		for (int i = 0; i < 400; i++) {
			now += 25;
			offer(queue, "w" + i, LOWEST, now + 2_000, now);
			releaseAll(queue, now);
		}
		Assert.assertTrue(this.started.size() >= 90 && this.started.size() <= 105, "started: " + this.started.size());
	}

	@Test
	public void whatTheLimitDelaysBeyondItsDeadlineIsShedAtOnce() {
		AdmissionQueue<String> queue = new AdmissionQueue<>();
		queue.setLimit(2, 0, 0);
		for (int i = 0; i < 10; i++) {
			offer(queue, "w" + i, LOWEST, 1_000, 0);
		}
		Assert.assertEquals(this.started.size(), 1);
		Assert.assertEquals(this.shed.size(), 8, this.shed.toString());
		Assert.assertEquals(queue.waiting(), 1);
	}

	@Test
	public void higherPriorityGoesFirstUnderALimit() {
		AdmissionQueue<String> queue = new AdmissionQueue<>();
		queue.setLimit(10, 0, 0);
		offer(queue, "running", LOWEST, 5_000, 0);
		offer(queue, "running too", LOWEST, 5_000, 0);
		offer(queue, "low", LOWEST, 5_000, 0);
		offer(queue, "high", HIGHEST, 5_000, 0);
		this.started.clear();
		releaseAll(queue, 60);
		Assert.assertEquals(this.started, List.of("high"));
	}

	@Test
	public void workThatWaitedStartsWhenTheLimitEnds() {
		AdmissionQueue<String> queue = new AdmissionQueue<>();
		queue.setLimit(2, 0, 0);
		for (int i = 0; i < 5; i++) {
			offer(queue, "w" + i, LOWEST, 10_000, 0);
		}
		queue.setLimit(TargetStatements.NO_LIMIT, 100, 100);
		releaseAll(queue, 100);
		Assert.assertEquals(this.started.size(), 5);
	}

	private void offer(AdmissionQueue<String> queue, String work, Priority priority, long deadlineAt, long now) {
		switch (queue.offer(work, priority, deadlineAt, SLOTS, CAPACITY, now)) {
			case AdmissionQueue.Admission.Started<String> admitted -> this.started.add(work);
			case AdmissionQueue.Admission.Queued<String> queued -> {
				// Started by a later call.
			}
			case AdmissionQueue.Admission.Shed<String> dropped -> this.shed.add(dropped.displaced().orElse(work));
		}
	}

	/** Ends all running work and starts what may start. */
	private void releaseAll(AdmissionQueue<String> queue, long now) {
		int running = queue.running();
		for (int i = 0; i < running; i++) {
			queue.release(now).next().ifPresent(this.started::add);
		}
		AdmissionQueue.Release<String> next = queue.startDelayed(SLOTS, now);
		while (next.next().isPresent()) {
			this.started.add(next.next().get());
			next = queue.startDelayed(SLOTS, now);
		}
	}

}
