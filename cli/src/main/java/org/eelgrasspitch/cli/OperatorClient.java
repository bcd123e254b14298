package org.eelgrasspitch.cli;

import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.eelgrasspitch.misc.Addresses;
import org.eelgrasspitch.node.ObjectiveCounts;
import org.eelgrasspitch.node.StatusReport;
import org.eelgrasspitch.testkit.Deployment;
import org.eelgrasspitch.testkit.HttpCaller;

/**
 * Queries the nodes given on the command line at their operators' ports.
 */
final class OperatorClient implements AutoCloseable {

	private static final long TIMEOUT_MILLIS = 2_000;

	private final HttpCaller caller = new HttpCaller(TIMEOUT_MILLIS);

	private final List<InetSocketAddress> addresses;

	private OperatorClient(List<InetSocketAddress> addresses) {
		this.addresses = addresses;
	}

	static void addArguments(Subparser parser) {
		parser.addArgument("--operators").nargs("+").setDefault(List.of()).help("operators' ports to query, IP:port");
		parser.addArgument("--deployment").help("directory of a deployment, to query all its nodes");
	}

	/**
	 * Creates a client for the nodes given by {@code --operators} and
	 * {@code --deployment}. Malformed addresses are ignored.
	 * @param arguments the parsed arguments
	 * @return the client; without addresses if no valid one was given
	 * @throws IllegalArgumentException if a settings file of the deployment has errors
	 * @throws UncheckedIOException if the deployment cannot be read
	 */
	static OperatorClient fromArguments(Namespace arguments) {
		List<InetSocketAddress> addresses = new ArrayList<>();
		arguments.<String>getList("operators")
			.forEach((argument) -> Addresses.parse(argument).ifPresent(addresses::add));
		String deployment = arguments.getString("deployment");
		if (deployment != null) {
			Deployment.read(Path.of(deployment))
				.members()
				.forEach((member) -> addresses.add(member.settings().operatorAddress()));
		}
		return new OperatorClient(addresses);
	}

	List<InetSocketAddress> addresses() {
		return this.addresses;
	}

	Optional<StatusReport> status(InetSocketAddress address) {
		return this.caller.read(address, "/status", StatusReport.class);
	}

	Optional<ObjectiveCounts[]> burnRates(InetSocketAddress address) {
		return this.caller.read(address, "/burn", ObjectiveCounts[].class);
	}

	@Override
	public void close() {
		this.caller.close();
	}

}
