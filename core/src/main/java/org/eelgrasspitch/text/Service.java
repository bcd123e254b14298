package org.eelgrasspitch.text;

import java.util.List;
import java.util.Optional;

/**
 * One service of the mesh. Its targets are the VMs that the VM list labels with its name.
 *
 * @param name the name, unique in the text
 * @param dependsOn names of the services that it calls, each defined in the same text
 * @param slots maximum number of requests that one target processes concurrently
 * @param connections maximum number of connections that one target accepts
 * @param coldStartMillis slow-start time, over which a new target's share of the load
 * rises to its full value, in milliseconds
 * @param operations the operations of the service, at least one
 */
public record Service(String name, List<String> dependsOn, int slots, int connections, int coldStartMillis,
		List<Operation> operations) {

	/**
	 * Finds an operation.
	 * @param operationName the operation's name
	 * @return the operation, or empty when the service has no operation with that name
	 */
	public Optional<Operation> operation(String operationName) {
		return this.operations.stream().filter((operation) -> operation.name().equals(operationName)).findFirst();
	}

}
