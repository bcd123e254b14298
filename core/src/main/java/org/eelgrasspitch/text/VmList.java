package org.eelgrasspitch.text;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The platform's list of VMs, indexed by name, service and failure domain.
 */
public final class VmList {

	/** An empty list, used until a node has read one. */
	public static final VmList EMPTY = new VmList(List.of());

	/** All VMs in the order of the document. */
	private final List<Vm> vms;

	private final Map<String, Vm> byName;

	private final Map<String, List<Vm>> byService;

	private final Map<String, List<Vm>> byFailureDomain;

	/**
	 * Creates a list.
	 * @param vms the VMs, with unique names
	 * @throws IllegalStateException if two VMs have the same name
	 */
	public VmList(List<Vm> vms) {
		this.vms = List.copyOf(vms);
		this.byName = vms.stream().collect(Collectors.toUnmodifiableMap(Vm::name, (vm) -> vm));
		this.byService = vms.stream().collect(Collectors.groupingBy(Vm::service));
		this.byFailureDomain = vms.stream().collect(Collectors.groupingBy(Vm::failureDomain));
	}

	/**
	 * Returns all VMs.
	 * @return the VMs in the order of the document; a document joined from parts is
	 * ordered by failure domain
	 */
	public List<Vm> vms() {
		return this.vms;
	}

	/**
	 * Finds a VM.
	 * @param name the VM's name
	 * @return the VM, or empty when it is not listed
	 */
	public Optional<Vm> vm(String name) {
		return Optional.ofNullable(this.byName.get(name));
	}

	/**
	 * Returns the VMs of a service.
	 * @param service the service's name
	 * @return its VMs in the order of {@link #vms()}; empty when there are none
	 */
	public List<Vm> ofService(String service) {
		return this.byService.getOrDefault(service, List.of());
	}

	/**
	 * Returns the VMs of a failure domain.
	 * @param failureDomain the failure domain's name
	 * @return its VMs in the order of the document; empty when there are none
	 */
	public List<Vm> ofFailureDomain(String failureDomain) {
		return this.byFailureDomain.getOrDefault(failureDomain, List.of());
	}

	/**
	 * Returns the names of all failure domains that contain VMs.
	 * @return the names in alphabetical order
	 */
	public List<String> failureDomains() {
		return this.byFailureDomain.keySet().stream().sorted().toList();
	}

}
