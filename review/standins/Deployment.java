import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: each machine has an address of its own in
 * 127.0.0.0/8 and the ports are the same on all machines. The nodes are started with the
 * run command and the settings template of the deploy file.
 */
final class Deployment implements AutoCloseable {

	static final int LIMIT_SECONDS = 110;

	/** A machine with its node. */
	final class Machine {

		final String name;

		final String zone;

		final String service;

		final String ip;

		final InetSocketAddress app;

		final InetSocketAddress outbound;

		final InetSocketAddress ready;

		final InetSocketAddress storeAddress;

		Process process;

		private int starts;

		Machine(String name, String zone, String service, int number) {
			this.name = name;
			this.zone = zone;
			this.service = service;
			this.ip = "127." + Deployment.this.net + ".1." + number;
			this.app = address(this.ip, Deployment.this.ports[0]);
			this.outbound = address(this.ip, Deployment.this.ports[1]);
			this.ready = address(this.ip, Deployment.this.ports[2]);
			this.storeAddress = address("127." + Deployment.this.net + ".9." + number, Deployment.this.ports[5]);
		}

		void start() throws IOException {
			Path settings = Deployment.this.folder.resolve(this.name + ".settings");
			Files.writeString(settings, settings());
			List<String> command = new ArrayList<>(List.of(Deployment.this.run.split(" +")));
			ProcessBuilder builder = new ProcessBuilder(command).directory(Deployment.this.root.toFile());
			builder.environment().keySet().retainAll(List.of("PATH", "HOME", "LANG"));
			builder.environment().put("EELGRASSPITCH_CONFIG", settings.toString());
			File log = Deployment.this.folder.resolve(this.name + "-" + ++this.starts + ".log").toFile();
			builder.redirectErrorStream(true).redirectOutput(log);
			this.process = builder.start();
			Deployment.this.recorder.line("node %s started", this.name);
		}

		/** Sends a signal. */
		void signal(String signal) throws IOException, InterruptedException {
			Deployment.this.recorder.line("node %s gets SIG%s", this.name, signal);
			new ProcessBuilder("kill", "-" + signal, String.valueOf(this.process.pid())).start().waitFor();
		}

		boolean isReady() {
			return Http.call(this.ready, "GET", "node", "/api/readiness", "readiness", new byte[0], 1_000)
				.status() == 200;
		}

		private String settings() throws IOException {
			Map<String, Object> fields = new HashMap<>();
			fields.put("node", this.name);
			fields.put("zone", this.zone);
			fields.put("service", this.service);
			fields.put("ip", this.ip);
			fields.put("app_addr", text(this.app));
			fields.put("listen.outbound", text(this.outbound));
			fields.put("listen.ready", text(this.ready));
			fields.put("internal_ports.0", Deployment.this.ports[3]);
			fields.put("platform.address", text(this.storeAddress));
			fields.put("limits.link_mbps", 1000.0);
			Deployment.this.bounds.forEach((name, value) -> fields.put("bounds." + name, value));
			Matcher matcher = Pattern.compile("\\{\\{([^}|]+)(\\|json)?\\}\\}").matcher(Deployment.this.template);
			StringBuilder text = new StringBuilder();
			while (matcher.find()) {
				Object value = fields.get(matcher.group(1));
				if (value == null) {
					throw new IOException("the template asks for " + matcher.group(1));
				}
				boolean quoted = matcher.group(2) != null && value instanceof String;
				matcher.appendReplacement(text,
						Matcher.quoteReplacement(quoted ? Json.quote(value.toString()) : value.toString()));
			}
			matcher.appendTail(text);
			// The metrics listen on a fixed port of each machine's own address.
			return text.toString().replace(":9464\"", ":" + Deployment.this.ports[4] + "\"");
		}

	}

	final Recorder recorder;

	final Path folder;

	final List<Machine> machines = new ArrayList<>();

	final Map<String, Object> bounds = new HashMap<>(Map.of("grace_s", 6, "retry_budget_ratio", 0.2,
			"retry_budget_min", 56, "budget_window_s", 10, "drain_s", 2, "settle_window_s", 3));

	Store store;

	private final Path root;

	private final String run;

	private final String template;

	private final int net;

	private final int[] ports = new int[6];

	private final List<AutoCloseable> closers = new ArrayList<>();

	Deployment(Path root, Recorder recorder) throws IOException {
		this.root = root;
		this.recorder = recorder;
		this.folder = Files.createTempDirectory("eelgrasspitch-review-");
		Matcher line = Pattern.compile("(?m)^run = \"(.*)\"$")
			.matcher(Files.readString(root.resolve("deploy/system.toml")));
		if (!line.find()) {
			throw new IOException("no run command in the deploy file");
		}
		this.run = line.group(1);
		this.template = Files.readString(root.resolve("deploy/settings.json"));
		this.net = 64 + (int) (ProcessHandle.current().pid() % 128);
		List<ServerSocket> held = new ArrayList<>();
		for (int i = 0; i < this.ports.length; i++) {
			ServerSocket socket = new ServerSocket(0);
			held.add(socket);
			this.ports[i] = socket.getLocalPort();
		}
		for (ServerSocket socket : held) {
			socket.close();
		}
		Thread watchdog = new Thread(() -> {
			try {
				TimeUnit.SECONDS.sleep(LIMIT_SECONDS);
			}
			catch (InterruptedException ex) {
				return;
			}
			this.recorder.line("over %d seconds: given up", LIMIT_SECONDS);
			close();
			Runtime.getRuntime().halt(2);
		});
		watchdog.setDaemon(true);
		watchdog.start();
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	Machine machine(String zone, String service) {
		Machine machine = new Machine("sidecar-" + zone + "-" + (this.machines.size() + 1), zone, service,
				this.machines.size() + 1);
		this.machines.add(machine);
		return machine;
	}

	/** Starts the store, with an address of its own for each machine. */
	Store startStore() throws IOException {
		this.store = new Store(this.machines.stream().map((machine) -> machine.storeAddress)
			.toArray(InetSocketAddress[]::new));
		this.closers.add(this.store);
		return this.store;
	}

	/** Starts a back end on a machine and publishes it. */
	AppServer startServer(Machine machine, String id) throws IOException {
		return startServer(machine, id, 9);
	}

	AppServer startServer(Machine machine, String id, int slots) throws IOException {
		AppServer server = new AppServer(id, machine.service, machine.zone, machine.app, slots, this.recorder);
		this.closers.add(server);
		this.store.put(server.key(), server.entry("ready"));
		return server;
	}

	/** Starts all nodes and waits until they are ready. */
	void startNodes() throws IOException, InterruptedException {
		for (Machine machine : this.machines) {
			machine.start();
		}
		for (Machine machine : this.machines) {
			awaitReady(machine, 30);
		}
		// The links between the nodes open meanwhile.
		Thread.sleep(2_000);
	}

	void awaitReady(Machine machine, int seconds) throws InterruptedException, IOException {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		while (!machine.isReady()) {
			if (System.nanoTime() > end) {
				throw new IOException(machine.name + " is not ready after " + seconds + " s");
			}
			Thread.sleep(100);
		}
		this.recorder.line("node %s is ready", machine.name);
	}

	static InetSocketAddress address(String ip, int port) {
		return new InetSocketAddress(Store.ip(ip), port);
	}

	static String text(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	/** One rule of the operator's configuration. */
	static String rule(String name, boolean idempotent, String prefix, String service, double timeoutSeconds,
			int attempts) {
		return "{\"name\":" + Json.quote(name) + ",\"type\":\"" + (idempotent ? "idempotent" : "non_idempotent")
				+ "\",\"target_latency_s\":0.6,\"priority\":1,\"match\":{\"path_prefix\":" + Json.quote(prefix)
				+ "},\"action\":{\"service\":" + Json.quote(service) + ",\"timeout_s\":" + timeoutSeconds
				+ ",\"max_attempts\":" + attempts + "}}";
	}

	static String config(int version, String host, List<String> services, List<String> rules) {
		StringBuilder clusters = new StringBuilder();
		for (String service : services) {
			clusters.append(clusters.isEmpty() ? "" : ",")
				.append("{\"name\":")
				.append(Json.quote(service))
				.append(",\"health_check_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}");
		}
		return "{\"version\":\"r" + version
				+ "\",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,"
				+ "\"idle_timeout_s\":15},\"base_version\":\"r" + (version - 1) + "\",\"listeners\":[{\"host\":"
				+ Json.quote(host) + ",\"rules\":[" + String.join(",", rules) + "]}],\"clusters\":[" + clusters + "]}";
	}

	@Override
	public synchronized void close() {
		for (Machine machine : this.machines) {
			if (machine.process != null) {
				machine.process.destroyForcibly();
			}
		}
		for (AutoCloseable closer : this.closers) {
			try {
				closer.close();
			}
			catch (Exception ex) {
				// All else is closed all the same.
			}
		}
		this.closers.clear();
		if (System.getenv("KEEP") != null) {
			System.err.println("kept " + this.folder);
			return;
		}
		try (var files = Files.list(this.folder)) {
			for (Path file : files.toList()) {
				Files.deleteIfExists(file);
			}
			Files.deleteIfExists(this.folder);
		}
		catch (IOException ex) {
			// A log may be gone already.
		}
	}

}
