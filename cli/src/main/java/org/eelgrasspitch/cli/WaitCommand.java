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
 * Waits until a revision is in force on all named nodes.
 */
final class WaitCommand implements Command {

	private static final long POLL_MILLIS = 100;

	private static final long PROGRESS_MILLIS = 2_000;

	@Override
	public void register(Subparsers parsers) {
		Subparser parser = parsers.addParser("wait").help("wait until a revision is in force on all named nodes");
		parser.description("Exit code 0: in force everywhere; 1: not on the nodes printed. "
				+ "Example: eelgrasspitch wait --revision 7 --deployment examples/ulaanbaatar");
		Fleet.addArguments(parser);
		parser.addArgument("--revision").type(Long.class).required(true).help("the platform's revision of the text");
		parser.addArgument("--seconds").type(Long.class).setDefault(13L).help("longest wait");
	}

	@Override
	public int run(Namespace arguments) {
		long revision = arguments.getLong("revision");
		long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(arguments.getLong("seconds"));
		long progressAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PROGRESS_MILLIS);
		try (Fleet fleet = Fleet.of(arguments)) {
			List<InetSocketAddress> open = new ArrayList<>(fleet.addresses());
			while (!open.isEmpty() && System.nanoTime() < giveUpAt) {
				open.removeIf((address) -> fleet.status(address)
					.filter((status) -> status.revision() >= revision)
					.isPresent());
				if (System.nanoTime() > progressAt) {
					System.err.println(open.size() + " of " + fleet.addresses().size() + " nodes to go");
					progressAt += TimeUnit.MILLISECONDS.toNanos(PROGRESS_MILLIS);
				}
				Cluster.sleep(open.isEmpty() ? 0 : POLL_MILLIS);
			}
			open.forEach(
					(address) -> System.out.println(Addresses.format(address) + " does not hold revision " + revision));
			return open.isEmpty() ? ExitCode.OK : ExitCode.FAILED;
		}
	}

}
