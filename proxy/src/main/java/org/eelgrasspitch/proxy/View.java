package org.eelgrasspitch.proxy;

import org.eelgrasspitch.mesh.MeshConfig;
import org.eelgrasspitch.mesh.TargetDirectory;

/**
 * What the traffic side knows of the published documents.
 *
 * @param config the configuration in force; null before the first
 * @param directory the targets that exist
 * @param known whether the targets were read at least once
 * @param revisions revision up to which each document is known, by channel
 * @param changes revision of the last change in each document, by channel
 * @param changedAt when each document last changed here, by channel, in monotonic
 * milliseconds
 */
record View(MeshConfig config, TargetDirectory directory, boolean known, long[] revisions, long[] changes,
		long[] changedAt) {

	/** Before anything was read. */
	static final View EMPTY = new View(null, TargetDirectory.EMPTY, false, new long[SourceChannel.values().length],
			new long[SourceChannel.values().length], new long[SourceChannel.values().length]);

	boolean isComplete() {
		return this.config != null && this.known;
	}

	long changedAt(SourceChannel channel) {
		return this.changedAt[channel.ordinal()];
	}

}
