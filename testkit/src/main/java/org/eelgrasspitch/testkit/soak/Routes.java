package org.eelgrasspitch.testkit.soak;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

import org.eelgrasspitch.testkit.mesh.Documents;
import org.eelgrasspitch.testkit.mesh.StoreStandIn;

/**
 * The configurations that the store confirmed, and which of them may be in force.
 */
final class Routes {

	/** Host of all routes. */
	static final String HOST = "m.example";

	/** Path prefix that nested calls use. */
	static final String NESTED = "/nest/";

	/** Time after its confirmation from which a version is in force, in milliseconds. */
	private static final long APPLY_MILLIS = 2_500;

	private static final String[] SERVICES = { "desk", "pay", "notes" };

	private static final int[] TIMEOUTS_MILLIS = { 1_000, 1_500, 2_000 };

	private final StoreStandIn store;

	private final Evidence evidence;

	private final Random random;

	private final List<Version> versions = new CopyOnWriteArrayList<>();

	Routes(StoreStandIn store, Evidence evidence, Random random) {
		this.store = store;
		this.evidence = evidence;
		this.random = random;
	}

	/**
	 * Writes the first or the next configuration to the store.
	 */
	void publish() {
		Map<String, Route> routes = new LinkedHashMap<>();
		add(routes, "/calm/", true, "desk", 2_000);
		add(routes, "/once/", false, "pay", 2_000);
		add(routes, "/call/", true, "notes", 2_000);
		add(routes, NESTED, true, "pay", 1_500);
		add(routes, "/move0/", true, anyService(), anyTimeout());
		add(routes, "/move1/", true, anyService(), anyTimeout());
		add(routes, "/flip/", false, anyService(), anyTimeout());
		if (this.random.nextBoolean()) {
			add(routes, "/opt0/", true, anyService(), anyTimeout());
		}
		if (this.random.nextBoolean()) {
			add(routes, "/opt1/", false, anyService(), anyTimeout());
		}
		long number = 10 + 2L * this.versions.size();
		long issuedMillis = this.evidence.now();
		String rules = routes.values().stream().map(Route::json).collect(Collectors.joining(","));
		this.store.put("op/config", Documents.config(number, rules, SERVICES));
		this.versions.add(new Version(number, issuedMillis, this.evidence.now(), routes));
	}

	/**
	 * Returns the path prefixes that any version may have.
	 * @return the prefixes
	 */
	static List<String> prefixes() {
		return List.of("/calm/", "/once/", "/call/", NESTED, "/move0/", "/move1/", "/flip/", "/opt0/", "/opt1/");
	}

	static boolean isIdempotent(String prefix) {
		return !List.of("/once/", "/flip/", "/opt1/").contains(prefix);
	}

	/**
	 * Returns the versions by which a request may be handled.
	 * @param sentMillis when it was sent
	 * @param untilMillis when it was handled
	 * @return the versions, oldest first
	 */
	List<Version> allowed(long sentMillis, long untilMillis) {
		List<Version> known = this.versions;
		int first = 0;
		while (first + 1 < known.size() && known.get(first + 1).confirmedMillis() <= sentMillis - APPLY_MILLIS) {
			first++;
		}
		return known.subList(first, known.size())
			.stream()
			.filter((version) -> version.issuedMillis() <= untilMillis)
			.toList();
	}

	private void add(Map<String, Route> routes, String prefix, boolean idempotent, String service, int timeoutMillis) {
		routes.put(prefix, new Route(prefix, idempotent, service, timeoutMillis));
	}

	private String anyService() {
		return SERVICES[this.random.nextInt(SERVICES.length)];
	}

	private int anyTimeout() {
		return TIMEOUTS_MILLIS[this.random.nextInt(TIMEOUTS_MILLIS.length)];
	}

	/**
	 * A route.
	 *
	 * @param prefix its path prefix
	 * @param idempotent whether its requests may run more than once
	 * @param service where it leads
	 * @param timeoutMillis its timeout
	 */
	record Route(String prefix, boolean idempotent, String service, int timeoutMillis) {

		String json() {
			return Documents.rule(this.prefix, (this.idempotent) ? "idempotent" : "non_idempotent", 1,
					"\"service\":\"" + this.service + "\"", this.timeoutMillis / 1_000.0);
		}

	}

	/**
	 * A confirmed configuration.
	 *
	 * @param number its number
	 * @param issuedMillis when it was sent to the store
	 * @param confirmedMillis when the store had it
	 * @param routes its routes by path prefix
	 */
	record Version(long number, long issuedMillis, long confirmedMillis, Map<String, Route> routes) {

	}

}
