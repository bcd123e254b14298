package org.eelgrasspitch.node;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.text.RouteKey;
import org.eelgrasspitch.text.Snapshot;

/**
 * The routes that a node serves by, as the operators' port shows them in JSON. All of it
 * comes from one {@link Snapshot}, so that whoever reads it can check that no route leads
 * to a service that is missing.
 *
 * @param revision revision of the text held; 0 before the first
 * @param services names of the services in force, in the order written
 * @param routes every route, by service and operation
 */
public record RouteReport(long revision, List<String> services, List<RouteRow> routes) {

	/**
	 * Creates the report; the JSON leaves out what is empty.
	 */
	public RouteReport {
		services = (services != null) ? services : List.of();
		routes = (routes != null) ? routes : List.of();
	}

	static RouteReport of(Optional<Snapshot> held) {
		if (held.isEmpty()) {
			return new RouteReport(0, List.of(), List.of());
		}
		Snapshot snapshot = held.get();
		List<RouteRow> rows = snapshot.routes()
			.keySet()
			.stream()
			.sorted(Comparator.comparing(RouteKey::service).thenComparing(RouteKey::operation))
			.map((key) -> row(snapshot, key))
			.toList();
		List<String> services = snapshot.text().services().stream().map((service) -> service.name()).toList();
		return new RouteReport(snapshot.version().revision(), services, rows);
	}

	private static RouteRow row(Snapshot snapshot, RouteKey key) {
		return new RouteRow(key.service(), key.operation(), snapshot.routes().get(key).service().dependsOn());
	}

	/**
	 * One route.
	 *
	 * @param service name of the service that runs it
	 * @param operation name of the operation
	 * @param dependsOn names of the services that it calls in turn
	 */
	public record RouteRow(String service, String operation, List<String> dependsOn) {

		/**
		 * Creates the row; the JSON leaves out what is empty.
		 */
		public RouteRow {
			dependsOn = (dependsOn != null) ? dependsOn : List.of();
		}

	}

}
