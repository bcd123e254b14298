package org.eelgrasspitch.text;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.eelgrasspitch.misc.Addresses;
import org.eelgrasspitch.misc.ErrorType;
import org.eelgrasspitch.misc.JsonObjectReader;
import org.eelgrasspitch.misc.LocatedNode;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.misc.ProblemListener;

/**
 * Builds a {@link VmList} from JSON nodes with source positions, of the shape
 * {@code {"vms": [{"name", "failureDomain", "service", "address", "state"}]}}, where
 * {@code state} is {@code live} or {@code leaving}.
 */
final class VmListParser {

	/** Maximum number of VMs in a list. */
	static final int MAX_VMS = 20_000;

	/** Replaces an address that does not parse; the document is rejected in this case. */
	private static final InetSocketAddress PLACEHOLDER_ADDRESS = new InetSocketAddress(0);

	private static final String STATE_LIVE = "live";

	private static final String STATE_LEAVING = "leaving";

	private final ProblemListener listener;

	VmListParser(ProblemListener listener) {
		this.listener = listener;
	}

	Optional<VmList> parse(LocatedNode root) {
		return JsonObjectReader.of("the VM list", root, this.listener).map(this::parseList);
	}

	private VmList parseList(JsonObjectReader fields) {
		Set<String> names = new HashSet<>();
		List<Vm> vms = new ArrayList<>();
		for (LocatedNode node : fields.list("vms", 0, MAX_VMS)) {
			Optional<Vm> vm = JsonObjectReader.of("a VM", node, this.listener).map(this::parseVm);
			if (vm.isPresent() && !names.add(vm.get().name())) {
				this.listener.report(Problem.of(ErrorType.DUPLICATE_VM, node.position(), vm.get().name()));
				continue;
			}
			vm.ifPresent(vms::add);
		}
		fields.rejectUnknownKeys();
		return new VmList(vms);
	}

	private Vm parseVm(JsonObjectReader fields) {
		String name = fields.name("name");
		String failureDomain = fields.name("failureDomain");
		String service = fields.name("service");
		String addressText = fields.text("address");
		Optional<InetSocketAddress> address = Addresses.parse(addressText);
		if (address.isEmpty()) {
			fields.report(ErrorType.BAD_ADDRESS, fields.position("address"), addressText);
		}
		boolean leaving = STATE_LEAVING.equals(fields.oneOf("state", List.of(STATE_LIVE, STATE_LEAVING)));
		fields.rejectUnknownKeys();
		return new Vm(name, failureDomain, service, address.orElse(PLACEHOLDER_ADDRESS), leaving);
	}

}
