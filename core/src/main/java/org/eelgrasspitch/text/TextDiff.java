package org.eelgrasspitch.text;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.eelgrasspitch.misc.EnumNames;

/**
 * Lists what a new text changes.
 * <p>
 * Services are matched by name, and operations by name within their service; a renamed
 * service therefore shows as one removed and one added. Removals come first, because they
 * are what a racing operator loses.
 */
public final class TextDiff {

	private final List<Change> changes = new ArrayList<>();

	private TextDiff() {
	}

	/**
	 * Compares two texts.
	 * @param before the text in force
	 * @param after the text to publish
	 * @return the changes; empty when both say the same
	 */
	public static List<Change> between(MeshText before, MeshText after) {
		TextDiff diff = new TextDiff();
		diff.compare("failure domains", before.failureDomains(), after.failureDomains());
		Map<String, Service> old = services(before);
		Map<String, Service> latest = services(after);
		old.keySet()
			.stream()
			.filter((name) -> !latest.containsKey(name))
			.forEach((name) -> diff.removed("service " + name));
		latest.forEach((name, service) -> {
			if (!old.containsKey(name)) {
				diff.added("service " + name);
				return;
			}
			diff.compare(old.get(name), service);
		});
		return List.copyOf(diff.changes);
	}

	private void compare(Service before, Service after) {
		String what = "service " + after.name() + " ";
		compare(what + "dependsOn", before.dependsOn(), after.dependsOn());
		compare(what + "slots", before.slots(), after.slots());
		compare(what + "connections", before.connections(), after.connections());
		compare(what + "coldStartMillis", before.coldStartMillis(), after.coldStartMillis());
		for (Operation operation : before.operations()) {
			if (after.operation(operation.name()).isEmpty()) {
				removed("operation " + after.name() + "/" + operation.name());
			}
		}
		for (Operation operation : after.operations()) {
			String name = "operation " + after.name() + "/" + operation.name();
			before.operation(operation.name())
				.ifPresentOrElse((former) -> compare(name, former, operation), () -> added(name));
		}
	}

	private void compare(String what, Object before, Object after) {
		if (!Objects.equals(before, after)) {
			this.changes.add(new Change(Kind.CHANGED, what, before + " -> " + after));
		}
	}

	private void removed(String what) {
		this.changes.add(new Change(Kind.REMOVED, what, ""));
	}

	private void added(String what) {
		this.changes.add(new Change(Kind.ADDED, what, ""));
	}

	private static Map<String, Service> services(MeshText text) {
		Map<String, Service> named = new LinkedHashMap<>();
		text.services().forEach((service) -> named.put(service.name(), service));
		return named;
	}

	/**
	 * Kind of a change.
	 */
	public enum Kind {

		/** Present only in the text in force. */
		REMOVED,

		/** Present only in the new text. */
		ADDED,

		/** Present in both with different values. */
		CHANGED

	}

	/**
	 * One change.
	 *
	 * @param kind its kind
	 * @param what the service, operation or member
	 * @param detail old and new value of a changed member; empty otherwise
	 */
	public record Change(Kind kind, String what, String detail) {

		@Override
		public String toString() {
			return EnumNames.lowerCase(this.kind) + " " + this.what + (this.detail.isEmpty() ? "" : ": " + this.detail);
		}

	}

}
