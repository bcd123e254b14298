package org.eelgrasspitch.cli;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.eelgrasspitch.misc.Addresses;
import org.eelgrasspitch.testkit.Cluster;

/**
 * Waits until all given nodes hold a revision of the configuration text, or a later one.
 */
final class WaitCommand implements Command {

	private static final long POLL_INTERVAL_MILLIS = 100;

	private static final long PROGRESS_INTERVAL_MILLIS = 2_000;

	@Override
	public void register(Subparsers parsers) {
		Subparser parser = parsers.addParser("wait").help("wait until all given nodes hold a revision");
		parser.description("Exit code 0: all nodes hold the revision or a later one; 1: the printed nodes do not. "
				+ "Example: eelgrasspitch wait --revision 7 --deployment examples/ulaanbaatar");
		OperatorClient.addArguments(parser);
		parser.addArgument("--revision").type(Long.class).required(true).help("revision of the text on the platform");
		parser.addArgument("--seconds")
			.type(Long.class)
			.setDefault(13L)
			.help("maximum waiting time, in seconds; the last round of queries may exceed it by 2 seconds for each "
					+ "node that does not answer");
	}

	@Override
	public int run(Namespace arguments) {
		long revision = arguments.getLong("revision");
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(arguments.getLong("seconds"));
		long nextProgressNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PROGRESS_INTERVAL_MILLIS);
		try (OperatorClient client = OperatorClient.fromArguments(arguments)) {
			List<InetSocketAddress> pending = new ArrayList<>(client.addresses());
			while (!pending.isEmpty() && System.nanoTime() < deadlineNanos) {
				pending.removeIf((address) -> client.status(address)
					.filter((status) -> status.revision() >= revision)
					.isPresent());
				if (System.nanoTime() > nextProgressNanos) {
					System.err.println(pending.size() + " of " + client.addresses().size()
							+ " nodes do not hold the revision yet");
					nextProgressNanos += TimeUnit.MILLISECONDS.toNanos(PROGRESS_INTERVAL_MILLIS);
				}
				Cluster.sleep(pending.isEmpty() ? 0 : POLL_INTERVAL_MILLIS);
			}
			pending.forEach(
					(address) -> System.out.println(Addresses.format(address) + " does not hold revision " + revision));
			return pending.isEmpty() ? ExitCode.OK : ExitCode.FAILED;
		}
	}

}
