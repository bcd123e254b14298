package org.eelgrasspitch.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.text.Part;
import org.eelgrasspitch.text.PartDelta;

/**
 * Parts that this process held before the ones it holds now, so that it can send a peer
 * that is a few versions behind a change instead of the whole part. Of each name the
 * latest {@value #PER_NAME} are kept; names that no longer exist are forgotten, so memory
 * stays within {@value #PER_NAME} times the document.
 */
final class FormerParts {

	/** Former parts kept for each name. */
	static final int PER_NAME = 3;

	/** Former parts by name, the latest first. */
	private final Map<String, Deque<Part>> former = new HashMap<>();

	/**
	 * Takes note that one list of parts replaces another.
	 * @param replaced the parts held so far
	 * @param held the parts held from now on
	 */
	void replace(List<Part> replaced, List<Part> held) {
		Set<Digest> kept = new HashSet<>();
		Set<String> names = new HashSet<>();
		for (Part part : held) {
			kept.add(part.digest());
			names.add(part.name());
		}
		this.former.keySet().retainAll(names);
		for (Part part : replaced) {
			if (!kept.contains(part.digest()) && names.contains(part.name())) {
				remember(part);
			}
		}
	}

	/**
	 * Writes a part as a change of one that the receiver holds.
	 * @param part the part that the receiver lacks
	 * @param receiverHolds digests of the parts that it holds
	 * @return the change, or empty when no former part helps
	 */
	Optional<PartDelta> delta(Part part, Set<Digest> receiverHolds) {
		return this.former.getOrDefault(part.name(), new ArrayDeque<>())
			.stream()
			.filter((candidate) -> receiverHolds.contains(candidate.digest()))
			.findFirst()
			.flatMap((base) -> PartDelta.between(base, part));
	}

	private void remember(Part part) {
		Deque<Part> parts = this.former.computeIfAbsent(part.name(), (name) -> new ArrayDeque<>());
		parts.addFirst(part);
		if (parts.size() > PER_NAME) {
			parts.removeLast();
		}
	}

}
