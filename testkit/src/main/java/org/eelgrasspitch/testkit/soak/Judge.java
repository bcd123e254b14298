package org.eelgrasspitch.testkit.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

import org.eelgrasspitch.testkit.soak.Evidence.Attempt;
import org.eelgrasspitch.testkit.soak.Evidence.Request;
import org.eelgrasspitch.testkit.soak.Evidence.Run;
import org.eelgrasspitch.testkit.soak.HttpReader.Content;
import org.eelgrasspitch.testkit.soak.Routes.Route;
import org.eelgrasspitch.testkit.soak.Routes.Version;

/**
 * Compares what callers and targets saw with the rules. Rules without a time bound hold
 * always; the others only for requests whose entry node was not disturbed.
 */
final class Judge {

	/** Start of the end of an attempt whose answer was no HTTP. */
	static final String MALFORMED = "malformed: ";

	/** Time after the route's timeout until which an answer is due, in milliseconds. */
	private static final long LATE_MILLIS = 500;

	/** Time after a disturbance in which time bounds do not hold, in milliseconds. */
	private static final long SETTLE_MILLIS = 3_000;

	/** Time after a caller has left in which its request may still reach a target. */
	private static final long DEPARTURE_MILLIS = 500;

	private static final int NOT_FOUND = 404;

	private static final int SERVER_ERROR = 500;

	private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

	private final Evidence evidence;

	private final Routes routes;

	private final List<Violation> violations = new ArrayList<>();

	private final Map<String, Integer> statistics = new TreeMap<>();

	Judge(Evidence evidence, Routes routes) {
		this.evidence = evidence;
		this.routes = routes;
	}

	/**
	 * Judges everything that was seen.
	 * @return the violations
	 */
	List<Violation> judge() {
		this.evidence.attempts().forEach(this::judgeAttempt);
		this.evidence.runs().forEach(this::judgeRun);
		this.evidence.strays().forEach((stray) -> {
			count("stray bytes on a connection");
			if (stray.start().startsWith("HTTP/1.1 2")) {
				violation("MIXED", "a success with no request waiting: " + stray, stray.lastId());
			}
		});
		this.evidence.disturbances().forEach((disturbance) -> count("disturbance " + disturbance.kind()));
		return this.violations;
	}

	/**
	 * Returns what was counted besides violations.
	 * @return numbers by name
	 */
	Map<String, Integer> statistics() {
		return this.statistics;
	}

	private void judgeAttempt(Attempt attempt) {
		count("attempts");
		count((attempt.status > 0) ? "answers " + attempt.status : "no answer");
		judgeAnswer(attempt);
		judgePromise(attempt);
		judgeConfiguration(attempt);
		if (attempt.isSuccess()) {
			countReadings(attempt);
		}
	}

	private void judgeAnswer(Attempt attempt) {
		if (attempt.end.startsWith(MALFORMED)) {
			mixed(attempt, "bytes that are no answer");
			return;
		}
		String echo = attempt.fields.get("x-request-id");
		if (echo != null && !echo.equals(attempt.request.id())) {
			mixed(attempt, "an answer to another request");
			return;
		}
		String signature = attempt.signature();
		if (signature == null) {
			if (attempt.isSuccess()) {
				mixed(attempt, "a success without a signature");
			}
			return;
		}
		Run run = this.evidence.runWith(signature);
		if (run == null) {
			mixed(attempt, "a signature that no target gave");
		}
		else if (!run.id.equals(attempt.request.id())) {
			mixed(attempt, "the signature of a run of another request");
		}
		else if (run.status != attempt.status) {
			mixed(attempt, "status " + attempt.status + " where the run answered " + run.status);
		}
		else if (run.arrivedMillis < attempt.sentMillis) {
			mixed(attempt, "the answer of a run that began before this sending");
		}
		else {
			judgeBody(attempt, run);
		}
	}

	private void judgeBody(Attempt attempt, Run run) {
		Content body = attempt.body;
		boolean hasBody = !attempt.request.method().equals("HEAD");
		if (body != null && hasBody && !body.equals(run.body)) {
			mixed(attempt, "a body that looks complete and is not the run's");
		}
	}

	private void judgePromise(Attempt attempt) {
		Request request = attempt.request;
		if (request.idempotent() || !PROMISES.contains(attempt.status)) {
			return;
		}
		if (this.evidence.runsOf(request.id()).stream().anyMatch((run) -> run.ran)) {
			violation("REFUSED", "answered " + attempt.status + " and ran", request.id());
		}
	}

	private void judgeRun(Run run) {
		count((run.ran) ? "runs" : "arrivals that did not run");
		Request request = this.evidence.request(run.id);
		if (request == null) {
			violation("UNASKED", "a request that no caller sent: " + run, run.id);
			return;
		}
		boolean unchanged = run.received.method().equals(request.method()) && run.received.path().equals(request.path())
				&& run.received.body().equals(Content.of(request.body()));
		if (!unchanged) {
			violation("UNASKED", "changed on the way: " + run, run.id);
		}
		List<Run> runs = this.evidence.runsOf(run.id);
		boolean again = runs.stream().anyMatch((other) -> other != run && other.ran);
		if (!request.idempotent() && run.ran && again) {
			violation("TWICE", "ran more than once", run.id);
		}
		judgeService(run, request);
		judgeDeparture(run);
	}

	/**
	 * A pause of a node is no excuse: it sees that the caller has left as soon as it
	 * runs.
	 */
	private void judgeDeparture(Run run) {
		List<Attempt> attempts = this.evidence.attemptsOf(run.id);
		if (attempts.isEmpty() || !attempts.stream().allMatch((attempt) -> attempt.end.equals(DepartingCaller.LEFT))) {
			return;
		}
		count("runs for callers that left");
		long left = attempts.stream().mapToLong((attempt) -> attempt.endMillis).max().orElseThrow();
		if (run.arrivedMillis > left + DEPARTURE_MILLIS) {
			violation("GONE",
					"reached a target " + (run.arrivedMillis - left) + " ms after its caller had left: " + run, run.id);
		}
	}

	private void judgeService(Run run, Request request) {
		List<Attempt> attempts = this.evidence.attemptsOf(run.id);
		if (!run.ran || attempts.isEmpty() || attempts.stream().anyMatch(this::isDisturbed)) {
			return;
		}
		long sent = attempts.stream().mapToLong((attempt) -> attempt.sentMillis).min().orElseThrow();
		boolean allowed = this.routes.allowed(sent, run.arrivedMillis)
			.stream()
			.map((version) -> version.routes().get(request.prefix()))
			.anyMatch((route) -> route != null && route.service().equals(run.service));
		if (!allowed) {
			violation("CONFIG", "run by " + run.service + " as only an older version allows: " + run, run.id);
		}
	}

	private void judgeConfiguration(Attempt attempt) {
		if (attempt.endMillis == 0 || isDisturbed(attempt)) {
			return;
		}
		List<Version> allowed = this.routes.allowed(attempt.sentMillis, attempt.endMillis);
		List<Route> possible = allowed.stream()
			.map((version) -> version.routes().get(attempt.request.prefix()))
			.filter(Objects::nonNull)
			.toList();
		if (attempt.status == NOT_FOUND && possible.size() == allowed.size()) {
			violation("CONFIG", "not found though the route is there", attempt.request.id());
		}
		long timeout = possible.stream().mapToLong(Route::timeoutMillis).max().orElse(Long.MAX_VALUE / 2);
		long started = Math.max(attempt.sentMillis, attempt.writtenMillis);
		if (attempt.first && attempt.endMillis > started + timeout + LATE_MILLIS) {
			violation("CONFIG (late)", "ended " + (attempt.endMillis - started - timeout) + " ms after the timeout "
					+ timeout + ": " + attempt, attempt.request.id());
		}
	}

	/**
	 * Counts successes beside which a run of the same identifier failed, which are
	 * violations only if an answer counts for all runs of its identifier.
	 */
	private void countReadings(Attempt attempt) {
		count("successes");
		Run given = this.evidence.runWith(Objects.requireNonNullElse(attempt.signature(), ""));
		List<Run> runs = this.evidence.runsOf(attempt.request.id());
		boolean nested = attempt.request.id().contains(".");
		List<Run> failed = runs.stream().filter((run) -> run != given && run.failed()).toList();
		if (!failed.isEmpty()) {
			count("success, another run failed" + ((nested) ? ", nested" : ", not nested"));
			boolean once = this.evidence.attemptsOf(attempt.request.id()).size() == 1;
			count("success, another run failed, " + ((once) ? "sent once by its caller" : "sent again by its caller"));
			if (given != null && failed.stream().anyMatch((run) -> run.target.equals(given.target))) {
				count("success, another run failed at the same target");
			}
		}
		if (runs.stream().anyMatch((run) -> !run.ran && run.status >= SERVER_ERROR)) {
			count("success, another arrival was refused by its target");
		}
	}

	private boolean isDisturbed(Attempt attempt) {
		return this.evidence.disturbances()
			.stream()
			.anyMatch((span) -> span.vm().equals(attempt.vm) && span.fromMillis() <= attempt.endMillis
					&& span.untilMillis() + SETTLE_MILLIS >= attempt.sentMillis);
	}

	private void count(String name) {
		this.statistics.merge(name, 1, Integer::sum);
	}

	private void mixed(Attempt attempt, String what) {
		violation("MIXED", what + ": " + attempt, attempt.request.id());
	}

	private void violation(String rule, String what, String id) {
		this.violations.add(new Violation(rule, what, record(id)));
	}

	private String record(String id) {
		StringBuilder record = new StringBuilder("  request " + this.evidence.request(id));
		this.evidence.attemptsOf(id).forEach((attempt) -> record.append("\n  attempt ").append(attempt));
		this.evidence.runsOf(id).forEach((run) -> record.append("\n  run ").append(run));
		return record.toString();
	}

	/**
	 * A broken rule.
	 *
	 * @param rule name of the rule
	 * @param what what was seen
	 * @param record all that is known of the request, one line each
	 */
	record Violation(String rule, String what, String record) {

	}

}
