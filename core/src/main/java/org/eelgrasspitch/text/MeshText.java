package org.eelgrasspitch.text;

import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.misc.Digest;

/**
 * The parsed form of the operators' text. When no error was reported, every dependency
 * refers to a service that the text defines.
 *
 * @param mesh name of the mesh
 * @param base digest of the version on which this text is based; empty when not stated
 * @param failureDomains names of all failure domains
 * @param services all services, in source order
 */
public record MeshText(String mesh, Optional<Digest> base, List<String> failureDomains, List<Service> services) {

}
