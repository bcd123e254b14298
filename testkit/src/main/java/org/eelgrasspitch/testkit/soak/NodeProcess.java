package org.eelgrasspitch.testkit.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.eelgrasspitch.testkit.Cluster;
import org.eelgrasspitch.testkit.JavaProcess;
import org.eelgrasspitch.testkit.mesh.RawCaller;

/**
 * The node program of one VM as a process, with the settings and flags of the deploy
 * file.
 */
final class NodeProcess implements AutoCloseable {

	private static final String MAIN_CLASS = "org.eelgrasspitch.platform.Main";

	private static final List<String> FLAGS = List.of("-Xms8m", "-Xmx32m", "-Xss256k", "-XX:+UseSerialGC",
			"-XX:TieredStopAtLevel=1", "-XX:ReservedCodeCacheSize=12m", "-Dio.netty.allocator.type=unpooled",
			"-Dio.netty.transport.noNative=true", "-Dio.netty.machineId=00:00:00:00:00:01", "-Dio.netty.processId=1",
			"--sun-misc-unsafe-memory-access=allow");

	private static final int STOP_SECONDS = 6;

	private static final long STOP_MILLIS = 1_000 * STOP_SECONDS;

	private static final int READY_POLL_MILLIS = 100;

	private static final int OK = 200;

	private final Vm vm;

	private final Path log;

	private final Path settings;

	private final String classPath;

	private JavaProcess process;

	/**
	 * Starts a node.
	 * @param vm its VM
	 * @param store address of the store
	 * @param classPath class path of the node program
	 * @param directory directory for its settings and log
	 * @throws IOException if the settings cannot be written
	 */
	NodeProcess(Vm vm, InetSocketAddress store, String classPath, Path directory) throws IOException {
		this.vm = vm;
		this.classPath = classPath;
		this.log = directory.resolve(vm.name() + ".log");
		this.settings = directory.resolve(vm.name() + ".json");
		Files.writeString(this.settings, settings(vm, store));
		start();
	}

	void start() {
		List<String> command = new ArrayList<>();
		command.add(ProcessHandle.current().info().command().orElse("java"));
		command.addAll(FLAGS);
		command.addAll(List.of("-cp", this.classPath, MAIN_CLASS));
		this.process = JavaProcess.start(this.vm.name(), this.log, command,
				Map.of("EELGRASSPITCH_CONFIG", this.settings.toString()));
	}

	JavaProcess process() {
		return this.process;
	}

	/**
	 * Requests the end of the process, and kills it if it takes too long.
	 */
	void stop() {
		this.process.terminate();
		if (!this.process.await(STOP_MILLIS)) {
			this.process.kill();
		}
	}

	/**
	 * Waits until the node says that it is ready.
	 * @param millis timeout
	 * @return false on a timeout
	 */
	boolean awaitReady(long millis) {
		for (long waited = 0; waited < millis; waited += READY_POLL_MILLIS) {
			try (RawCaller probe = new RawCaller(this.vm.ready())) {
				probe.send("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
				if (probe.read().status() == OK) {
					return true;
				}
			}
			catch (IOException ex) {
				// Not yet listening.
			}
			Cluster.sleep(READY_POLL_MILLIS);
		}
		return false;
	}

	@Override
	public void close() {
		this.process.close();
	}

	private static String settings(Vm vm, InetSocketAddress store) {
		return """
				{"vm": "%s", "failureDomain": "%s", "service": "%s", "entryAddress": "%s", "readinessAddress": "%s",
				"linkAddress": "%s", "metricsAddress": "%s", "targetAddress": "%s", "sourceAddress": "%s",
				"linkMegabits": 1000, "stopSeconds": %d, "retryRatio": 0.2, "retryMinimum": 60,
				"retryWindowSeconds": 10, "drainSeconds": 2, "settleSeconds": 3}
				""".formatted(vm.name(), vm.zone(), vm.service(), text(vm.entry()), text(vm.ready()), text(vm.link()),
				text(vm.metrics()), text(vm.target()), text(store), STOP_SECONDS);
	}

	private static String text(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	/**
	 * A VM with its addresses. Ports are the same on all VMs.
	 *
	 * @param name its name
	 * @param service service of its target
	 * @param zone its failure domain
	 * @param host its loopback address
	 */
	record Vm(String name, String service, String zone, String host) {

		private static final int BASE_PORT = 23_400;

		InetSocketAddress entry() {
			return new InetSocketAddress(this.host, BASE_PORT);
		}

		InetSocketAddress ready() {
			return new InetSocketAddress(this.host, BASE_PORT + 1);
		}

		InetSocketAddress link() {
			return new InetSocketAddress(this.host, BASE_PORT + 2);
		}

		InetSocketAddress metrics() {
			return new InetSocketAddress(this.host, BASE_PORT + 3);
		}

		InetSocketAddress target() {
			return new InetSocketAddress(this.host, BASE_PORT + 4);
		}

	}

}
