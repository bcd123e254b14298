package org.eelgrasspitch.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.function.Predicate;

import org.eelgrasspitch.mesh.SourceReaders.Peer;
import org.eelgrasspitch.mesh.SourceReaders.Report;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * The nodes of one failure domain, simulated: each hears the reports of the others with a
 * delay of one step.
 */
public class SourceReadersTests {

	private static final int NODES = 19;

	private static final long STEP_MILLIS = 100;

	private final List<SourceReaders> nodes = new ArrayList<>();

	private final List<Peer> reports = new ArrayList<>();

	private final boolean[] alive = new boolean[NODES];

	private long now;

	@Test
	public void oneNodeReadsAfterAStartOfAll() {
		start();
		run(2_000, (node) -> true);
		Assert.assertEquals(readers().size(), 1);
		Assert.assertEquals(readers().getFirst().intValue(), 18, "the node with the best link");
	}

	// Each node that had just started sent every configuration to its failure domain.
	@Test
	public void onlyOneOfManyNodesThatStartLeadsAsSoonAsTheyHearOfIt() {
		start();
		run(3 * STEP_MILLIS, (node) -> true);
		Assert.assertTrue(readers().size() > 1, "the others still read");
		Assert.assertEquals(leading(), List.of(18));
		run(2_000, (node) -> true);
		Assert.assertEquals(leading(), List.of(18));
	}

	@Test
	public void anotherNodeLeadsSoonAfterTheSourceRefusesTheFirst() {
		start();
		run(2_000, (node) -> true);
		run(500, (node) -> node != 18);
		Assert.assertTrue(leading().contains(17), leading().toString());
	}

	@Test
	public void anotherNodeReadsSoonAfterTheReaderIsGone() {
		start();
		run(2_000, (node) -> true);
		this.alive[18] = false;
		run(500, (node) -> true);
		Assert.assertEquals(readers(), List.of(17));
	}

	@Test
	public void wholeFailureDomainIsServedWhenTheSourceRefusesSomeNodes() {
		for (int seed = 0; seed < 200; seed++) {
			SplittableRandom random = new SplittableRandom(seed);
			boolean[] refused = new boolean[NODES];
			for (int node = 0; node < NODES; node++) {
				refused[node] = random.nextInt(3) == 0;
			}
			refused[random.nextInt(NODES)] = false;
			start();
			run(2_000, (node) -> true);
			run(5_000, (node) -> !refused[node]);
			Assert.assertTrue(readers().stream().anyMatch((node) -> !refused[node]), "seed " + seed);
			run(3_000, (node) -> true);
			Assert.assertEquals(readers(), List.of(18), "seed " + seed);
		}
	}

	@Test
	public void refusalOfTheFirstReaderCausesAPromptTakeover() {
		start();
		run(2_000, (node) -> true);
		run(500, (node) -> node != 18);
		Assert.assertTrue(readers().contains(17), readers().toString());
		Assert.assertEquals(readers().size(), 2);
	}

	@Test
	public void outageForAllStartsTheOthersSlowly() {
		start();
		run(2_000, (node) -> true);
		run(3_000, (node) -> false);
		Assert.assertTrue(readers().size() <= 6, readers().size() + " nodes read");
		run(3_000, (node) -> true);
		Assert.assertEquals(readers(), List.of(18));
	}

	@Test
	public void nodeWithoutDocumentsKeepsReading() {
		SourceReaders node = new SourceReaders("vm-1", 0);
		Peer better = new Peer("vm-2", 100, Report.SERVED);
		node.update(List.of(better), false, 0);
		Assert.assertTrue(node.update(List.of(better), false, 10_000));
		Assert.assertFalse(node.update(List.of(better), true, 10_100));
	}

	private void start() {
		this.nodes.clear();
		this.reports.clear();
		for (int index = 0; index < NODES; index++) {
			this.nodes.add(new SourceReaders(name(index), 10 + index));
			this.reports.add(new Peer(name(index), 10 + index, Report.NONE));
			this.alive[index] = true;
		}
	}

	private void run(long millis, IntPredicate served) {
		for (long end = this.now + millis; this.now < end; this.now += STEP_MILLIS) {
			List<Peer> heard = List.copyOf(this.reports);
			for (int index = 0; index < NODES; index++) {
				if (this.alive[index]) {
					step(index, heard, served);
				}
			}
		}
	}

	private void step(int index, List<Peer> heard, IntPredicate served) {
		List<Peer> peers = new ArrayList<>();
		for (int other = 0; other < NODES; other++) {
			if (other != index && this.alive[other]) {
				peers.add(heard.get(other));
			}
		}
		boolean reading = this.nodes.get(index).update(peers, true, this.now);
		Report readingReport = served.test(index) ? Report.SERVED : Report.UNSERVED;
		this.reports.set(index, new Peer(name(index), 10 + index, reading ? readingReport : Report.NONE));
	}

	private List<Integer> readers() {
		return select(SourceReaders::isReading);
	}

	private List<Integer> leading() {
		return select(SourceReaders::isLeading);
	}

	private List<Integer> select(Predicate<SourceReaders> condition) {
		List<Integer> selected = new ArrayList<>();
		for (int index = 0; index < NODES; index++) {
			if (this.alive[index] && condition.test(this.nodes.get(index))) {
				selected.add(index);
			}
		}
		return selected;
	}

	private static String name(int index) {
		return "vm-" + index;
	}

}
