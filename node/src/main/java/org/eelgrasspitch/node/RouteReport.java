package org.eelgrasspitch.node;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.text.RouteKey;
import org.eelgrasspitch.text.Snapshot;

/**
 * Routes in force at a node, the response of {@code GET /routes}. All members come from
 * one {@link Snapshot}, so a client can check that every route leads to a listed service.
 *
 * @param revision revision of the configuration text held; 0 before the first
 * @param services names of the services, in the order of the text
 * @param routes all routes, sorted by service and operation
 */
public record RouteReport(long revision, List<String> services, List<RouteRow> routes) {

	/**
	 * Creates a report. A null list becomes empty, because the JSON omits empty lists.
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
	 * @param service name of the service that runs the operation
	 * @param operation name of the operation
	 * @param dependsOn names of the services that the service calls; may be empty
	 */
	public record RouteRow(String service, String operation, List<String> dependsOn) {

		/**
		 * Creates a row. A null list becomes empty, because the JSON omits empty lists.
		 */
		public RouteRow {
			dependsOn = (dependsOn != null) ? dependsOn : List.of();
		}

	}

}
