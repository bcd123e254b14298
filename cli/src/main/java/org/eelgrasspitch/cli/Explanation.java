package org.eelgrasspitch.cli;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.eelgrasspitch.misc.CollectingProblemListener;
import org.eelgrasspitch.misc.LocatedNode;
import org.eelgrasspitch.misc.LocatedNodeReader;
import org.eelgrasspitch.testkit.Json;

/**
 * Explains the outcome of one request from the decision logs of nodes of the streaming
 * proxy. The result contains all decisions about the request and about calls that its
 * target made to other services, in order of time; for each one, the last state of the
 * target that the deciding node had logged before; and the cause of the outcome in one
 * sentence. Logs may be incomplete, and lines that cannot be parsed are reported.
 */
final class Explanation {

	/** Maximum length of a log line; longer ones are reported as unreadable. */
	private static final int MAX_LINE_BYTES = 65_536;

	private static final String REQUEST = "request";

	private static final String TARGET = "target";

	private final String requestId;

	/** Entries about the request or a call of its target, in order of time. */
	private final List<LogEntry> requestEntries = new ArrayList<>();

	/** Latest entry about the state of each target, by logging node and target. */
	private final Map<String, LogEntry> targetStates = new LinkedHashMap<>();

	/** All entries that were added. */
	private final List<LogEntry> entries = new ArrayList<>();

	/** Positions of lines that contain a brace and cannot be parsed as log entries. */
	private final List<String> unreadable = new ArrayList<>();

	Explanation(String requestId) {
		this.requestId = requestId;
	}

	/**
	 * Adds a line of a log. A line without a brace is ignored.
	 * @param source file and line number, for messages
	 * @param line the line; text before the first brace is ignored
	 */
	void add(String source, String line) {
		int brace = line.indexOf('{');
		if (brace < 0) {
			return;
		}
		CollectingProblemListener listener = new CollectingProblemListener();
		Optional<LogEntry> entry = new LocatedNodeReader(MAX_LINE_BYTES, listener)
			.read(line.substring(brace).getBytes(StandardCharsets.UTF_8))
			.flatMap(Explanation::parseEntry);
		if (entry.isEmpty()) {
			this.unreadable.add(source);
			return;
		}
		this.entries.add(entry.get());
	}

	/**
	 * Returns the explanation as text.
	 * @return the lines to print; the last one is the cause
	 */
	List<String> toLines() {
		List<String> lines = new ArrayList<>();
		for (Decision decision : decisions()) {
			if (lines.isEmpty()) {
				lines.add("request " + this.requestId);
			}
			lines.add(formatLine(decision.entry()));
			decision.targetState()
				.ifPresent((targetState) -> lines.add("             known then: " + describe(targetState) + ", "
						+ (decision.entry().timeMillis() - targetState.timeMillis()) + " ms before"));
		}
		if (!this.unreadable.isEmpty()) {
			lines.add(this.unreadable.size() + " lines could not be read, the first one at "
					+ this.unreadable.getFirst());
		}
		lines.add("cause: " + cause());
		return lines;
	}

	/**
	 * Returns the explanation as JSON.
	 * @return a JSON object with the request, the decisions in order of time, each with
	 * the last known state of its target, the positions of unreadable lines, and the
	 * cause
	 */
	String toJson() {
		List<Map<String, Object>> decisions = new ArrayList<>();
		for (Decision decision : decisions()) {
			Map<String, Object> json = members(decision.entry());
			decision.targetState().ifPresent((targetState) -> {
				Map<String, Object> known = members(targetState);
				known.put("age_ms", decision.entry().timeMillis() - targetState.timeMillis());
				json.put("known", known);
			});
			decisions.add(json);
		}
		Map<String, Object> root = new LinkedHashMap<>();
		root.put(REQUEST, this.requestId);
		root.put("decisions", decisions);
		root.put("unreadable", this.unreadable);
		root.put("cause", cause());
		return Json.write(root);
	}

	private List<Decision> decisions() {
		this.entries.sort(Comparator.comparingLong(LogEntry::timeMillis));
		this.requestEntries.clear();
		List<Decision> decisions = new ArrayList<>();
		for (LogEntry entry : this.entries) {
			if (!entry.belongsTo(this.requestId)) {
				entry.stateKey().ifPresent((stateKey) -> this.targetStates.put(entry.vm() + " " + stateKey, entry));
				continue;
			}
			this.requestEntries.add(entry);
			decisions.add(new Decision(entry, targetState(entry)));
		}
		return decisions;
	}

	private static Map<String, Object> members(LogEntry entry) {
		Map<String, Object> members = new LinkedHashMap<>();
		members.put("ts", entry.timeMillis());
		members.put("vm", entry.vm());
		members.put("event", entry.event());
		members.putAll(entry.fields());
		return members;
	}

	/**
	 * Returns whether the logs contain the request. Valid only after {@link #toLines()}
	 * or {@link #toJson()}; false before.
	 * @return true if an entry of the request was found
	 */
	boolean isFound() {
		return !this.requestEntries.isEmpty();
	}

	private Optional<LogEntry> targetState(LogEntry entry) {
		String target = entry.fields().get(TARGET);
		if (target == null) {
			return Optional.empty();
		}
		return Optional.ofNullable(this.targetStates.get(entry.vm() + " " + TARGET + " " + target));
	}

	private String cause() {
		Optional<LogEntry> last = this.requestEntries.stream()
			.filter((entry) -> this.requestId.equals(entry.fields().get(REQUEST)) && entry.isFinal())
			.reduce((former, latter) -> latter);
		if (last.isEmpty()) {
			return this.requestEntries.isEmpty() ? "no log has this request; successful requests are only sampled"
					: "these logs do not contain the outcome of this request at its entry node";
		}
		Map<String, String> fields = last.get().fields();
		String call = this.requestEntries.stream()
			.filter((entry) -> !this.requestId.equals(entry.fields().get(REQUEST)) && entry.isFailure())
			.map((entry) -> ", after a call of its target to "
					+ entry.fields().getOrDefault("service", "another service") + " ended with "
					+ entry.fields().getOrDefault("reason", "an error"))
			.findFirst()
			.orElse("");
		String after = fields.containsKey("after_ms") ? (" after " + fields.get("after_ms") + " ms") : "";
		return switch (last.get().event()) {
			case "request_refused" -> "refused without having run" + after + ": " + fields.get("reason")
					+ " (targets tried: " + fields.getOrDefault("tried", "0") + ")";
			case "request_failed" -> "failed with status " + fields.get("status") + after + " and may have run: "
					+ fields.get("reason") + " (targets reached: " + fields.get("reached") + ")";
			case "request_cancelled" -> "cancelled by the caller" + after;
			default -> "answered with status " + fields.get("status") + after
					+ ("true".equals(fields.get("late")) ? (", late" + lateDetail()) : "") + call;
		};
	}

	/**
	 * Describes how long a late request waited at its home and ran on the target.
	 * @return the end of a sentence; empty if no home has logged these times
	 */
	private String lateDetail() {
		return this.requestEntries.stream()
			.filter((entry) -> entry.event().equals("call_done") && this.requestId.equals(entry.fields().get(REQUEST)))
			.reduce((former, latter) -> latter)
			.map((entry) -> ": it waited " + entry.fields().get("waited_ms") + " ms at its home and took "
					+ entry.fields().get("target_ms") + " ms at the target")
			.orElse("");
	}

	private String formatLine(LogEntry entry) {
		return String.format("%+8d ms  %-24s %s", entry.timeMillis() - this.requestEntries.getFirst().timeMillis(),
				entry.vm(), describe(entry));
	}

	private static String describe(LogEntry entry) {
		return entry.event() + entry.fields()
			.entrySet()
			.stream()
			.map((field) -> " " + field.getKey() + "=" + field.getValue())
			.collect(Collectors.joining());
	}

	private static Optional<LogEntry> parseEntry(LocatedNode root) {
		if (!(root instanceof LocatedNode.ObjectNode object)
				|| !(object.members().get("ts") instanceof LocatedNode.IntegerNode time)
				|| !(object.members().get("event") instanceof LocatedNode.TextNode event)) {
			return Optional.empty();
		}
		Map<String, String> fields = new LinkedHashMap<>();
		object.members().forEach((name, value) -> fields.put(name, text(value)));
		String vm = fields.getOrDefault("vm", "");
		fields.keySet().removeAll(List.of("ts", "event", "vm"));
		return Optional.of(new LogEntry(time.value(), vm, event.value(), fields));
	}

	private static String text(LocatedNode value) {
		return switch (value) {
			case LocatedNode.TextNode text -> text.value();
			case LocatedNode.IntegerNode number -> Long.toString(number.value());
			case LocatedNode.BooleanNode flag -> Boolean.toString(flag.value());
			case LocatedNode.OtherNode other -> other.text();
			case LocatedNode.ArrayNode array -> "[...]";
			case LocatedNode.ObjectNode object -> "{...}";
		};
	}

	/**
	 * A decision about the request.
	 *
	 * @param entry the entry that logs it
	 * @param targetState latest earlier entry of the same node about the state of the
	 * target involved; empty if there is none
	 */
	private record Decision(LogEntry entry, Optional<LogEntry> targetState) {

	}

	/**
	 * A parsed log line.
	 *
	 * @param timeMillis timestamp in Unix milliseconds
	 * @param vm name of the VM whose node wrote it; empty if missing
	 * @param event name of the event
	 * @param fields the other fields in order; nested values are abbreviated
	 */
	private record LogEntry(long timeMillis, String vm, String event, Map<String, String> fields) {

		boolean belongsTo(String id) {
			String request = this.fields.getOrDefault(REQUEST, "");
			return request.equals(id) || request.startsWith(id + ".");
		}

		boolean isFinal() {
			return isFailure() || this.event.equals("request_done") || this.event.equals("request_cancelled");
		}

		boolean isFailure() {
			return this.event.equals("request_refused") || this.event.equals("request_failed");
		}

		/**
		 * Returns the key of the target whose state this entry reports.
		 * @return the key; empty if the entry does not report the state of a target
		 */
		Optional<String> stateKey() {
			boolean ofTarget = this.event.startsWith("target_") && this.fields.containsKey(TARGET);
			return ofTarget ? Optional.of(TARGET + " " + this.fields.get(TARGET)) : Optional.empty();
		}

	}

}
