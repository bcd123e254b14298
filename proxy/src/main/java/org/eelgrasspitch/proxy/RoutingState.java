package org.eelgrasspitch.proxy;

import org.eelgrasspitch.mesh.MeshConfig;
import org.eelgrasspitch.mesh.TargetDirectory;

/**
 * What the traffic side knows of the published documents.
 *
 * @param config the configuration in force; null before the first
 * @param directory the targets that exist
 * @param targetsKnown whether the targets were read at least once
 * @param revisions revision up to which each document is known, by channel
 * @param lastChangeRevisions revision of the last change in each document, by channel
 * @param changedAtMillis when each document last changed here, by channel, in monotonic
 * milliseconds
 */
record RoutingState(MeshConfig config, TargetDirectory directory, boolean targetsKnown, long[] revisions,
		long[] lastChangeRevisions, long[] changedAtMillis) {

	/** Before anything was read. */
	static final RoutingState EMPTY = new RoutingState(null, TargetDirectory.EMPTY, false,
			new long[SourceChannel.values().length], new long[SourceChannel.values().length],
			new long[SourceChannel.values().length]);

	boolean isComplete() {
		return this.config != null && this.targetsKnown;
	}

	long changedAtMillis(SourceChannel channel) {
		return this.changedAtMillis[channel.ordinal()];
	}

}
