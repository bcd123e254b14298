package org.eelgrasspitch.proxy;

import org.eelgrasspitch.mesh.MeshConfig;
import org.eelgrasspitch.mesh.SourceReaders.Report;
import org.eelgrasspitch.mesh.TargetDirectory;

/**
 * Snapshot of the published documents from which requests are routed.
 *
 * @param config current configuration; null before the first one is applied
 * @param directory current targets
 * @param targetsKnown whether the target entries have been read at least once
 * @param revisions revision up to which each document is complete, by channel ordinal
 * @param lastChangeRevisions revision of the last change in each document, by channel
 * ordinal
 * @param lastDeltaAtMillis monotonic time in milliseconds at which this node last applied
 * a delta of each document, even an empty one, by channel ordinal; 0 before the first
 * @param sourceReport whether this node reads the source and is served
 */
record RoutingState(MeshConfig config, TargetDirectory directory, boolean targetsKnown, long[] revisions,
		long[] lastChangeRevisions, long[] lastDeltaAtMillis, Report sourceReport) {

	/** State before any document is read. */
	static final RoutingState EMPTY = new RoutingState(null, TargetDirectory.EMPTY, false,
			new long[SourceChannel.values().length], new long[SourceChannel.values().length],
			new long[SourceChannel.values().length], Report.NONE);

	boolean isComplete() {
		return this.config != null && this.targetsKnown;
	}

	long lastDeltaAtMillis(SourceChannel channel) {
		return this.lastDeltaAtMillis[channel.ordinal()];
	}

}
