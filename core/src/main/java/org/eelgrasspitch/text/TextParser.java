package org.eelgrasspitch.text;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.misc.ErrorType;
import org.eelgrasspitch.misc.JsonObjectReader;
import org.eelgrasspitch.misc.LocatedNode;
import org.eelgrasspitch.misc.LocatedNode.TextNode;
import org.eelgrasspitch.misc.Position;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.misc.ProblemListener;

/**
 * Builds a {@link MeshText} from JSON nodes with source positions. The result depends
 * only on the document: nodes that read the same bytes all accept or all reject them,
 * regardless of earlier versions. The parser reports every problem to its listener and
 * returns a value even after errors; the caller discards the value when an error was
 * reported.
 * <p>
 * Example: for <pre>
 * {"mesh": "m", "failureDomains": ["a"], "services": [
 *   {"name": "s", "dependsOn": ["t"], "slots": 0, "connections": 9, "operations": []}]}
 * </pre> it reports that {@code slots} is out of range, that {@code operations} has too
 * few entries, and that {@code t} is not defined, each with its line and column.
 */
final class TextParser {

	/** Maximum number of services in a text. */
	static final int MAX_SERVICES = 512;

	/** Maximum number of operations of a service. */
	static final int MAX_OPERATIONS = 64;

	/** Maximum number of failure domains. */
	static final int MAX_FAILURE_DOMAINS = 64;

	/** Maximum deadline, late-after time and cold start time, in milliseconds. */
	static final int MAX_DEADLINE_MILLIS = 600_000;

	private static final int MAX_SLOTS = 10_000;

	private static final int MAX_CONNECTIONS = 100_000;

	private static final int DEFAULT_COLD_START_MILLIS = 10_000;

	private static final int DEFAULT_OBJECTIVE_PER_MILLE = 999;

	private static final List<Priority> PRIORITIES = List.of(Priority.values());

	private static final List<OperationKind> OPERATION_KINDS = List.of(OperationKind.values());

	private final ProblemListener listener;

	/** Position of the first definition of each service, by name. */
	private final Map<String, Position> servicePositions = new HashMap<>();

	/** Dependencies with their source positions, by the name of the depending service. */
	private final Map<String, List<TextNode>> dependenciesByService = new HashMap<>();

	TextParser(ProblemListener listener) {
		this.listener = listener;
	}

	Optional<MeshText> parse(LocatedNode root) {
		return JsonObjectReader.of("the text", root, this.listener).map(this::parseMesh);
	}

	private MeshText parseMesh(JsonObjectReader fields) {
		String mesh = fields.name("mesh");
		Optional<Digest> base = parseBase(fields);
		List<String> failureDomains = parseFailureDomains(fields);
		List<Service> services = new ArrayList<>();
		for (LocatedNode node : fields.list("services", 1, MAX_SERVICES)) {
			JsonObjectReader.of("a service", node, this.listener).map(this::parseService).ifPresent(services::add);
		}
		fields.rejectUnknownKeys();
		checkDependencies();
		new DependencyCheck(services, this.servicePositions, this.listener).run();
		return new MeshText(mesh, base, failureDomains, List.copyOf(services));
	}

	private Optional<Digest> parseBase(JsonObjectReader fields) {
		Optional<String> base = fields.optionalText("base");
		if (base.isPresent() && !Digest.isDigest(base.get())) {
			fields.report(ErrorType.BAD_BASE, fields.position("base"), base.get());
			return Optional.empty();
		}
		return base.map(Digest::new);
	}

	private List<String> parseFailureDomains(JsonObjectReader fields) {
		Set<String> names = new HashSet<>();
		List<String> ordered = new ArrayList<>();
		fields.list("failureDomains", 1, MAX_FAILURE_DOMAINS);
		for (TextNode node : fields.texts("failureDomains", MAX_FAILURE_DOMAINS)) {
			fields.checkName(node.value(), node.position());
			if (!names.add(node.value())) {
				report(ErrorType.DUPLICATE_NAME, node.position(), "failure domain", node.value());
			}
			ordered.add(node.value());
		}
		return List.copyOf(ordered);
	}

	private Service parseService(JsonObjectReader fields) {
		String name = fields.name("name");
		if (this.servicePositions.putIfAbsent(name, fields.position("name")) != null) {
			report(ErrorType.DUPLICATE_NAME, fields.position("name"), "service", name);
		}
		List<TextNode> dependsOn = fields.texts("dependsOn", MAX_SERVICES);
		this.dependenciesByService.computeIfAbsent(name, (key) -> new ArrayList<>()).addAll(dependsOn);
		int slots = fields.integer("slots", 1, MAX_SLOTS);
		int connections = fields.integer("connections", 1, MAX_CONNECTIONS);
		int coldStartMillis = fields.integer("coldStartMillis", 0, MAX_DEADLINE_MILLIS, DEFAULT_COLD_START_MILLIS);
		List<Operation> operations = parseOperations(fields);
		fields.rejectUnknownKeys();
		return new Service(name, dependsOn.stream().map(TextNode::value).toList(), slots, connections, coldStartMillis,
				operations);
	}

	private List<Operation> parseOperations(JsonObjectReader fields) {
		Set<String> names = new HashSet<>();
		List<Operation> operations = new ArrayList<>();
		for (LocatedNode node : fields.list("operations", 1, MAX_OPERATIONS)) {
			Optional<Operation> operation = JsonObjectReader.of("an operation", node, this.listener)
				.map(this::parseOperation);
			if (operation.isPresent() && !names.add(operation.get().name())) {
				report(ErrorType.DUPLICATE_NAME, node.position(), "operation", operation.get().name());
			}
			operation.ifPresent(operations::add);
		}
		return List.copyOf(operations);
	}

	private Operation parseOperation(JsonObjectReader fields) {
		String name = fields.name("name");
		OperationKind kind = fields.oneOf("kind", OPERATION_KINDS);
		Priority priority = fields.oneOf("priority", PRIORITIES, Priority.INTERACTIVE);
		int deadlineMillis = fields.integer("deadlineMillis", 1, MAX_DEADLINE_MILLIS);
		int lateAfterMillis = fields.integer("lateAfterMillis", 1, MAX_DEADLINE_MILLIS, deadlineMillis);
		if (fields.has("lateAfterMillis") && lateAfterMillis >= deadlineMillis) {
			report(ErrorType.LATE_AFTER_DEADLINE, fields.position("lateAfterMillis"), lateAfterMillis, deadlineMillis);
		}
		int objective = fields.integer("objectivePerMille", 1, 999, DEFAULT_OBJECTIVE_PER_MILLE);
		fields.rejectUnknownKeys();
		return new Operation(name, kind, priority, deadlineMillis, lateAfterMillis, objective);
	}

	private void checkDependencies() {
		this.dependenciesByService.forEach((service, nodes) -> nodes.forEach((node) -> {
			if (!this.servicePositions.containsKey(node.value())) {
				report(ErrorType.DANGLING_DEPENDENCY, node.position(), service, node.value());
			}
		}));
	}

	private void report(ErrorType type, Position position, Object... arguments) {
		this.listener.report(Problem.of(type, position, arguments));
	}

}
