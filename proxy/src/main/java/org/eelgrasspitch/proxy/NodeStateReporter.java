package org.eelgrasspitch.proxy;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.mesh.TargetLoad;
import org.eelgrasspitch.misc.Addresses;

/**
 * Creates reports of a node's state. Used only on the event loop that handles requests.
 *
 * @param context shared dependencies
 * @param entry entry service of this node
 * @param home home of this VM's target
 * @param links links to peers
 * @param stateKeeper keeper of the published documents
 */
record NodeStateReporter(ProxyContext context, EntryService entry, HomeService home, LinkManager links,
		RoutingStateKeeper stateKeeper) {

	/** Reported age for a target without a usable link to its home. */
	private static final long UNKNOWN_AGE_MILLIS = -1;

	NodeStateReport report() {
		RoutingState state = this.entry.state();
		long now = this.context.now();
		List<NodeStateReport.Target> targets = state.directory()
			.all()
			.stream()
			.sorted(Comparator.comparing(TargetEntry::service).thenComparing(TargetEntry::id))
			.map(this::target)
			.toList();
		List<NodeStateReport.Budget> budgets = state.directory()
			.all()
			.stream()
			.map(TargetEntry::service)
			.distinct()
			.sorted()
			.map((service) -> new NodeStateReport.Budget(service, this.entry.availableRetries(service)))
			.toList();
		ProxySettings settings = this.context.settings();
		return new NodeStateReport(settings.vm(), settings.failureDomain(),
				(state.config() != null) ? state.config().version() : 0,
				state.position(SourceChannel.CONFIG).revision(), now - state.lastDeltaAtMillis(SourceChannel.CONFIG),
				state.position(SourceChannel.TARGETS).revision(), now - state.lastDeltaAtMillis(SourceChannel.TARGETS),
				this.stateKeeper.isSourceLost(), this.links.openLinkCount(), targets, budgets);
	}

	private NodeStateReport.Target target(TargetEntry target) {
		if (target.address().equals(this.context.settings().targetAddress())) {
			return target(target, this.home.load(), 0);
		}
		Optional<Link> link = this.links.linkTo(target);
		if (link.isEmpty()) {
			return target(target, "unlinked", "no link to its home, or a silent one", TargetLoad.UNKNOWN,
					UNKNOWN_AGE_MILLIS);
		}
		return target(target, link.get().load(), this.context.now() - link.get().lastReceivedAtMillis());
	}

	private NodeStateReport.Target target(TargetEntry target, TargetLoad load, long ageMillis) {
		if (target.draining()) {
			return target(target, "leaving", "it says so in its entry", load, ageMillis);
		}
		if (this.entry.statements().isLeaving(target)) {
			return target(target, "leaving", "it says so in its answers", load, ageMillis);
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

	private static NodeStateReport.Target target(TargetEntry target, String state, String reason, TargetLoad load,
			long ageMillis) {
		return new NodeStateReport.Target(target.id(), target.service(), Addresses.format(target.address()),
				target.failureDomain(), state, reason, load.running(), load.waiting(), target.slots(),
				load.failurePercent(), ageMillis);
	}

}
