package org.eelgrasspitch.proxy;

import java.util.Collection;
import java.util.List;

import org.eelgrasspitch.mesh.SourceReaders;
import org.eelgrasspitch.mesh.SourceReaders.Peer;
import org.eelgrasspitch.mesh.SourceReaders.Report;

/**
 * Keeps this node's decision whether it reads the source up to date with what its peers
 * report, and passes changes on. {@link SourceReaders} decides. Used on the event loop
 * that handles requests; the listener passes the changes to the control thread.
 */
final class SourceRole {

	private final ProxyContext context;

	private final SourceReaders readers;

	private final SourceRoleListener listener;

	/** What the peers of the failure domain report, as last passed to the listener. */
	private Report nearReport = Report.NONE;

	SourceRole(ProxyContext context, SourceRoleListener listener) {
		this.context = context;
		this.readers = new SourceReaders(context.settings().vm(), context.settings().linkCapacityMegabits());
		this.listener = listener;
	}

	boolean isReading() {
		return this.readers.isReading();
	}

	/**
	 * Returns whether this node sends what it reads to its peers.
	 * @return true if it reads, unless the source answers a better-ranked peer
	 */
	boolean isLeading() {
		return this.readers.isLeading();
	}

	/**
	 * Decides again.
	 * @param nearLinks usable links to peers in the same failure domain
	 * @param state the current routing state
	 */
	void update(Collection<Link> nearLinks, RoutingState state) {
		List<Peer> peers = nearLinks.stream()
			.map((link) -> new Peer(link.peerVm(), link.peerCapacityMegabits(), link.peerReport()))
			.toList();
		boolean wasReading = this.readers.isReading();
		boolean reading = this.readers.update(peers, state.isComplete(), this.context.now());
		reportNear(peers);
		if (reading == wasReading) {
			return;
		}
		this.context.log()
			.logNodeEvent(reading ? LogEvent.READING_STARTED : LogEvent.READING_STOPPED, "near_peers", peers.size(),
					"served_peers", peers.stream().filter((peer) -> peer.report() == Report.SERVED).count());
		this.listener.readingChanged(reading);
	}

	private void reportNear(List<Peer> peers) {
		Report report = Report.NONE;
		for (Peer peer : peers) {
			if (peer.report() == Report.SERVED || report == Report.NONE) {
				report = peer.report();
			}
		}
		if (report != this.nearReport) {
			this.nearReport = report;
			this.listener.nearReportChanged(report);
		}
	}

	/**
	 * Receives changes of the role.
	 */
	interface SourceRoleListener {

		/**
		 * Called when this node starts or stops reading the source.
		 * @param reading whether it reads
		 */
		void readingChanged(boolean reading);

		/**
		 * Called when what the peers of the failure domain report about the source has
		 * changed.
		 * @param report {@link Report#SERVED} if at least one is served
		 */
		void nearReportChanged(Report report);

	}

}
