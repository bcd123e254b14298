package org.eelgrasspitch.proxy;

import java.util.List;
import java.util.OptionalLong;

import io.vavr.control.Either;
import org.eelgrasspitch.mesh.MeshConfig;
import org.eelgrasspitch.mesh.SourceItem;
import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.misc.Problem;

/**
 * Decodes the items of published documents. Implemented by the adapter of a deployment.
 */
public interface DocumentDecoder {

	/**
	 * Decodes a configuration.
	 * @param item the published item
	 * @return the configuration, or all problems found
	 */
	Either<List<Problem>, MeshConfig> config(SourceItem item);

	/**
	 * Reads the version of a configuration without decoding the rest of it.
	 * @param item the published item
	 * @return the version; empty if the item has none that can be read
	 */
	OptionalLong configVersion(SourceItem item);

	/**
	 * Decodes a target's entry.
	 * @param item the published item; its key is the identifier of the target
	 * @return the entry, or all problems found
	 */
	Either<List<Problem>, TargetEntry> target(SourceItem item);

}
