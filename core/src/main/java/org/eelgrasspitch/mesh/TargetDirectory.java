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
 * Immutable directory of the known targets.
 */
public final class TargetDirectory {

	/** A directory without targets. */
	public static final TargetDirectory EMPTY = new TargetDirectory(List.of());

	private final Map<String, TargetEntry> byId = new HashMap<>();

	private final Map<String, List<TargetEntry>> byService;

	/**
	 * Creates a directory.
	 * @param entries the entries; one for each target
	 */
	public TargetDirectory(Collection<TargetEntry> entries) {
		entries.forEach((entry) -> this.byId.put(entry.id(), entry));
		this.byService = entries.stream()
			.sorted(Comparator.comparing(TargetEntry::id))
			.collect(Collectors.groupingBy(TargetEntry::service));
	}

	/**
	 * Returns all entries.
	 * @return the entries in no particular order
	 */
	public Collection<TargetEntry> all() {
		return this.byId.values();
	}

	/**
	 * Returns the targets of a service.
	 * @param service name of the service
	 * @return the entries ordered by identifier, including draining targets; empty for an
	 * unknown service
	 */
	public List<TargetEntry> targetsOf(String service) {
		return this.byService.getOrDefault(service, List.of());
	}

	/**
	 * Finds a target.
	 * @param id identifier of the target
	 * @return the entry, or empty if the target is unknown
	 */
	public Optional<TargetEntry> find(String id) {
		return Optional.ofNullable(this.byId.get(id));
	}

	/**
	 * Finds the target at an address. If several entries have the address, after its
	 * reuse or a restart, targets that are not draining take precedence, then the latest
	 * start.
	 * @param service name of the target's service
	 * @param address the target's address
	 * @return the entry, or empty if no target of the service has the address
	 */
	public Optional<TargetEntry> findByAddress(String service, InetSocketAddress address) {
		return targetsOf(service).stream()
			.filter((entry) -> entry.address().equals(address))
			.max(Comparator.comparing((TargetEntry entry) -> !entry.draining())
				.thenComparingLong(TargetEntry::startUnixMillis)
				.thenComparing(TargetEntry::id));
	}

}
