package org.eelgrasspitch.mesh;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The targets that exist, as an immutable value.
 */
public final class TargetDirectory {

	/** A directory without targets. */
	public static final TargetDirectory EMPTY = new TargetDirectory(List.of());

	private final Map<String, TargetEntry> byId = new HashMap<>();

	private final Map<String, List<TargetEntry>> byService;

	/**
	 * Creates a directory.
	 * @param entries one entry a target
	 */
	public TargetDirectory(Collection<TargetEntry> entries) {
		entries.forEach((entry) -> this.byId.put(entry.id(), entry));
		this.byService = entries.stream()
			.sorted(Comparator.comparing(TargetEntry::id))
			.collect(Collectors.groupingBy(TargetEntry::service));
	}

	/**
	 * Returns every entry.
	 * @return the entries in no particular order
	 */
	public Collection<TargetEntry> all() {
		return this.byId.values();
	}

	/**
	 * Returns the targets of a service.
	 * @param service its name
	 * @return the targets, draining ones included
	 */
	public List<TargetEntry> targetsOf(String service) {
		return this.byService.getOrDefault(service, List.of());
	}

	/**
	 * Finds a target.
	 * @param id its identifier
	 * @return the entry, or empty when it does not exist
	 */
	public Optional<TargetEntry> find(String id) {
		return Optional.ofNullable(this.byId.get(id));
	}

	/**
	 * Finds the target at an address. After a reuse of the address, or a restart, the
	 * target that started last is meant.
	 * @param service name of its service
	 * @param address the address
	 * @return the entry, or empty when none is published
	 */
	public Optional<TargetEntry> findByAddress(String service, InetSocketAddress address) {
		return targetsOf(service).stream()
			.filter((entry) -> entry.address().equals(address))
			.max(Comparator.comparing((TargetEntry entry) -> !entry.draining())
				.thenComparingLong(TargetEntry::startUnixMillis)
				.thenComparing(TargetEntry::id));
	}

}
