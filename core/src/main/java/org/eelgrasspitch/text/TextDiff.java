package org.eelgrasspitch.text;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.eelgrasspitch.misc.EnumNames;

/**
 * Computes the changes between two texts.
 * <p>
 * Services are matched by name, and operations by name within their service, so that a
 * renamed service appears as one removal and one addition. Removed services precede added
 * and changed ones, because a removal may discard what another operator has published
 * concurrently.
 */
public final class TextDiff {

	private final List<Change> changes = new ArrayList<>();

	private TextDiff() {
	}

	/**
	 * Compares two texts.
	 * @param before the text in force
	 * @param after the text to publish
	 * @return the changes; empty when failure domains, services and operations are equal
	 */
	public static List<Change> between(MeshText before, MeshText after) {
		TextDiff diff = new TextDiff();
		diff.compare("failure domains", before.failureDomains(), after.failureDomains());
		Map<String, Service> servicesBefore = servicesByName(before);
		Map<String, Service> servicesAfter = servicesByName(after);
		servicesBefore.keySet()
			.stream()
			.filter((name) -> !servicesAfter.containsKey(name))
			.forEach((name) -> diff.removed("service " + name));
		servicesAfter.forEach((name, service) -> {
			if (!servicesBefore.containsKey(name)) {
				diff.added("service " + name);
				return;
			}
			diff.compare(servicesBefore.get(name), service);
		});
		return List.copyOf(diff.changes);
	}

	private void compare(Service before, Service after) {
		String subject = "service " + after.name() + " ";
		compare(subject + "dependsOn", before.dependsOn(), after.dependsOn());
		compare(subject + "slots", before.slots(), after.slots());
		compare(subject + "connections", before.connections(), after.connections());
		compare(subject + "coldStartMillis", before.coldStartMillis(), after.coldStartMillis());
		for (Operation operation : before.operations()) {
			if (after.operation(operation.name()).isEmpty()) {
				removed("operation " + after.name() + "/" + operation.name());
			}
		}
		for (Operation operation : after.operations()) {
			String name = "operation " + after.name() + "/" + operation.name();
			before.operation(operation.name())
				.ifPresentOrElse((earlier) -> compare(name, earlier, operation), () -> added(name));
		}
	}

	private void compare(String subject, Object before, Object after) {
		if (!Objects.equals(before, after)) {
			this.changes.add(new Change(Kind.CHANGED, subject, before + " -> " + after));
		}
	}

	private void removed(String subject) {
		this.changes.add(new Change(Kind.REMOVED, subject, ""));
	}

	private void added(String subject) {
		this.changes.add(new Change(Kind.ADDED, subject, ""));
	}

	private static Map<String, Service> servicesByName(MeshText text) {
		Map<String, Service> servicesByName = new LinkedHashMap<>();
		text.services().forEach((service) -> servicesByName.put(service.name(), service));
		return servicesByName;
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
	 * @param kind the kind of change
	 * @param subject what changed: {@code failure domains}, {@code service NAME},
	 * {@code service NAME MEMBER} or {@code operation SERVICE/NAME}
	 * @param detail old and new value, separated by {@code " -> "}, when the kind is
	 * {@link Kind#CHANGED}; empty otherwise
	 */
	public record Change(Kind kind, String subject, String detail) {

		@Override
		public String toString() {
			return EnumNames.lowerCase(this.kind) + " " + this.subject
					+ (this.detail.isEmpty() ? "" : ": " + this.detail);
		}

	}

}
