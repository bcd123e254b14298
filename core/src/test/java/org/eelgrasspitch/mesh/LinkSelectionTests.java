package org.eelgrasspitch.mesh;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Which peers a node keeps links to, for fleets of 12, 95 and 930 VMs.
 */
public class LinkSelectionTests {

	private static final Set<InetAddress> NONE = Set.of();

	@Test
	public void linksDoNotGrowWithTheFleet() {
		Assert.assertEquals(select(fleet(12, 3, 4), 0, NONE).size(), 12);
		Assert.assertEquals(select(fleet(95, 5, 4), 0, NONE).size(), 19 + 4 * 4);
		int nearAndOneOfEachService = 117 + 26 * 7;
		Assert.assertTrue(select(fleet(930, 8, 26), 0, NONE).size() <= nearAndOneOfEachService);
	}

	@Test
	public void everyServiceHasNearTargetsOrFourFarOnes() {
		List<TargetEntry> fleet = fleet(95, 5, 4);
		for (int self = 0; self < fleet.size(); self++) {
			Set<InetAddress> selected = select(fleet, self, NONE);
			Map<String, Long> farByService = fleet.stream()
				.filter((target) -> selected.contains(target.address().getAddress()))
				.filter(far(fleet.get(self)))
				.collect(Collectors.groupingBy(TargetEntry::service, Collectors.counting()));
			farByService.values().forEach((count) -> Assert.assertEquals(count.intValue(), 4));
			Assert.assertEquals(farByService.size(), 4);
		}
	}

	@Test
	public void farTargetsAreSelectedByAboutAsManyNodes() {
		List<TargetEntry> fleet = fleet(95, 5, 4);
		Map<InetAddress, Integer> selectedBy = new HashMap<>();
		for (int self = 0; self < fleet.size(); self++) {
			Set<InetAddress> selected = select(fleet, self, NONE);
			fleet.stream()
				.filter(far(fleet.get(self)))
				.map((target) -> target.address().getAddress())
				.filter(selected::contains)
				.forEach((peer) -> selectedBy.merge(peer, 1, Integer::sum));
		}
		double mean = selectedBy.values().stream().mapToInt(Integer::intValue).average().orElseThrow();
		Assert.assertEquals(selectedBy.size(), 95);
		selectedBy.values().forEach((count) -> Assert.assertTrue(count < 2 * mean, "selected by " + selectedBy));
	}

	@Test
	public void unreachablePeerIsReplacedAndStaysSelected() {
		List<TargetEntry> fleet = fleet(95, 5, 4);
		Set<InetAddress> before = select(fleet, 0, NONE);
		InetAddress lost = fleet.stream()
			.filter(far(fleet.getFirst()))
			.map((target) -> target.address().getAddress())
			.filter(before::contains)
			.findFirst()
			.orElseThrow();
		Set<InetAddress> after = select(fleet, 0, Set.of(lost));
		Assert.assertTrue(after.containsAll(before));
		Assert.assertEquals(after.size(), before.size() + 1);
	}

	@Test
	public void lossOfAFailureDomainSelectsFewReplacements() {
		List<TargetEntry> fleet = fleet(95, 5, 4);
		Set<InetAddress> lost = fleet.stream()
			.filter((target) -> target.failureDomain().equals("fd-1"))
			.map((target) -> target.address().getAddress())
			.collect(Collectors.toSet());
		Set<InetAddress> before = select(fleet, 0, NONE);
		Set<InetAddress> after = new HashSet<>(select(fleet, 0, lost));
		after.removeAll(before);
		Assert.assertTrue(after.size() <= 4 * LinkSelection.MAX_REPLACEMENTS, "further peers: " + after.size());
	}

	@Test
	public void newTargetChangesFewSelections() {
		List<TargetEntry> fleet = fleet(95, 5, 4);
		List<TargetEntry> grown = new ArrayList<>(fleet);
		grown.add(target(95, 5, 4));
		int changed = 0;
		for (int self = 1; self < fleet.size(); self += 5) {
			changed += select(fleet, self, NONE).equals(select(grown, self, NONE)) ? 0 : 1;
		}
		Assert.assertTrue(changed > 0 && changed < 10, changed + " of 19 selections have changed");
	}

	private static Predicate<TargetEntry> far(TargetEntry self) {
		return (target) -> !target.failureDomain().equals(self.failureDomain());
	}

	private static Set<InetAddress> select(List<TargetEntry> fleet, int self, Set<InetAddress> unreachable) {
		return new LinkSelection(fleet.get(self).id(), fleet.get(self).failureDomain()).select(fleet,
				unreachable::contains);
	}

	private static List<TargetEntry> fleet(int vms, int failureDomains, int services) {
		List<TargetEntry> fleet = new ArrayList<>();
		for (int index = 0; index < vms; index++) {
			fleet.add(target(index, failureDomains, services));
		}
		return fleet;
	}

	private static TargetEntry target(int index, int failureDomains, int services) {
		InetSocketAddress address = new InetSocketAddress("127.0." + (index / 250) + "." + (index % 250 + 1), 80);
		return new TargetEntry("i-" + index, "s" + (index / failureDomains % services), address,
				"fd-" + index % failureDomains, 6, false, 0, 1, 1);
	}

}
