package org.eelgrasspitch.proxy;

import java.util.List;

import io.vavr.control.Either;
import org.eelgrasspitch.mesh.MeshConfig;
import org.eelgrasspitch.mesh.SourceItem;
import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.misc.Problem;

/**
 * Reads published items. Implemented by the deployment's adapter.
 */
public interface DocumentDecoder {

	/**
	 * Reads a configuration.
	 * @param item the published item
	 * @return the configuration, or everything that is wrong with it
	 */
	Either<List<Problem>, MeshConfig> config(SourceItem item);

	/**
	 * Reads a target's entry.
	 * @param item the published item; its key identifies the target
	 * @return the entry, or everything that is wrong with it
	 */
	Either<List<Problem>, TargetEntry> target(SourceItem item);

}
