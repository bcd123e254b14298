package org.eelgrasspitch.text;

import java.util.List;
import java.util.Optional;

/**
 * One service of the mesh. Its targets are the VMs that the VM list labels with its name.
 *
 * @param name name, unique in the text
 * @param dependsOn names of the services it calls; each is defined in the same text
 * @param slots requests that one target works on at a time
 * @param connections connections that one target accepts
 * @param coldStartMillis time over which a new target's share of the load rises to full,
 * in milliseconds
 * @param operations its operations, at least one
 */
public record Service(String name, List<String> dependsOn, int slots, int connections, int coldStartMillis,
		List<Operation> operations) {

	/**
	 * Finds an operation.
	 * @param operationName the operation's name
	 * @return the operation, or empty when the service has none of that name
	 */
	public Optional<Operation> operation(String operationName) {
		return this.operations.stream().filter((operation) -> operation.name().equals(operationName)).findFirst();
	}

}
