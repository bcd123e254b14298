package org.eelgrasspitch.text;

import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.misc.Digest;

/**
 * The operators' text, checked: every name it uses is defined in it.
 *
 * @param mesh name of the mesh
 * @param base digest of the version that the operator edited; empty when not stated
 * @param failureDomains names of all failure domains
 * @param services all services, in the order written
 */
public record MeshText(String mesh, Optional<Digest> base, List<String> failureDomains, List<Service> services) {

}
