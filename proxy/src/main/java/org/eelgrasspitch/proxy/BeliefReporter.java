package org.eelgrasspitch.proxy;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.mesh.TargetLoad;
import org.eelgrasspitch.misc.Addresses;

/**
 * Collects what a node believes. To be used on the event loop of the traffic.
 *
 * @param fabric what every part needs
 * @param entry the entry side
 * @param home the home of this VM's target
 * @param links the links to peers
 * @param beliefs the documents
 */
record BeliefReporter(Fabric fabric, EntryService entry, Home home, Links links, BeliefKeeper beliefs) {

	/** Age of what no home has ever said. */
	private static final long NEVER = -1;

	BeliefReport report() {
		View view = this.entry.view();
		long now = this.fabric.now();
		List<BeliefReport.Target> targets = view.directory()
			.all()
			.stream()
			.sorted(Comparator.comparing(TargetEntry::service).thenComparing(TargetEntry::id))
			.map(this::target)
			.toList();
		List<BeliefReport.Budget> budgets = view.directory()
			.all()
			.stream()
			.map(TargetEntry::service)
			.distinct()
			.sorted()
			.map((service) -> new BeliefReport.Budget(service, this.entry.repeatsLeft(service)))
			.toList();
		ProxySettings settings = this.fabric.settings();
		return new BeliefReport(settings.vm(), settings.failureDomain(),
				(view.config() != null) ? view.config().version() : 0, view.revisions()[SourceChannel.CONFIG.ordinal()],
				now - view.changedAt(SourceChannel.CONFIG), view.revisions()[SourceChannel.TARGETS.ordinal()],
				now - view.changedAt(SourceChannel.TARGETS), this.beliefs.isSourceLost(), this.links.open(), targets,
				budgets);
	}

	private BeliefReport.Target target(TargetEntry target) {
		if (target.address().equals(this.fabric.settings().targetAddress())) {
			return target(target, this.home.load(), 0);
		}
		Optional<Link> link = this.links.to(target);
		if (link.isEmpty()) {
			return target(target, "unlinked", "no link to its home, or a silent one", TargetLoad.UNKNOWN, NEVER);
		}
		return target(target, link.get().load(), this.fabric.now() - link.get().lastHeardAt());
	}

	private BeliefReport.Target target(TargetEntry target, TargetLoad load, long ageMillis) {
		if (target.draining()) {
			return target(target, "leaving", "it says so in its entry", load, ageMillis);
		}
		if (this.entry.isDisplaced(target.id())) {
			return target(target, "displaced", "another target answered at its address", load, ageMillis);
		}
		String reason = switch (load.state()) {
			case UP -> "its home takes requests";
			case DOWN -> "its home cannot connect to it";
			case LEAVING -> "its home is about to stop";
		};
		return target(target, load.state().word(), reason, load, ageMillis);
	}

	private static BeliefReport.Target target(TargetEntry target, String state, String reason, TargetLoad load,
			long ageMillis) {
		return new BeliefReport.Target(target.id(), target.service(), Addresses.format(target.address()),
				target.failureDomain(), state, reason, load.running(), load.waiting(), target.slots(),
				load.failurePercent(), ageMillis);
	}

}
