package org.eelgrasspitch.proxy;

import java.util.Collections;
import java.util.List;

import org.eelgrasspitch.mesh.MeshConfig;
import org.eelgrasspitch.mesh.SourcePosition;
import org.eelgrasspitch.mesh.SourceReaders.Report;
import org.eelgrasspitch.mesh.TargetDirectory;

/**
 * Snapshot of the published documents from which requests are routed.
 *
 * @param config current configuration; null before the first one is applied
 * @param directory current targets
 * @param targetsKnown whether the target entries have been read at least once
 * @param positions position up to which each document is complete, by channel ordinal
 * @param lastChanges position of the last change in each document, by channel ordinal
 * @param lastDeltaAtMillis monotonic time in milliseconds at which this node last applied
 * a delta of each document, even an empty one, by channel ordinal; 0 before the first
 * @param sourceReport whether this node reads the source and is served
 */
record RoutingState(MeshConfig config, TargetDirectory directory, boolean targetsKnown, List<SourcePosition> positions,
		List<SourcePosition> lastChanges, long[] lastDeltaAtMillis, Report sourceReport) {

	/** State before any document is read. */
	static final RoutingState EMPTY = new RoutingState(null, TargetDirectory.EMPTY, false,
			Collections.nCopies(SourceChannel.values().length, SourcePosition.NONE),
			Collections.nCopies(SourceChannel.values().length, SourcePosition.NONE),
			new long[SourceChannel.values().length], Report.NONE);

	boolean isComplete() {
		return this.config != null && this.targetsKnown;
	}

	SourcePosition position(SourceChannel channel) {
		return this.positions.get(channel.ordinal());
	}

	SourcePosition lastChange(SourceChannel channel) {
		return this.lastChanges.get(channel.ordinal());
	}

	long lastDeltaAtMillis(SourceChannel channel) {
		return this.lastDeltaAtMillis[channel.ordinal()];
	}

}
