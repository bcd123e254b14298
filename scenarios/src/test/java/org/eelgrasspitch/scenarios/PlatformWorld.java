package org.eelgrasspitch.scenarios;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.eelgrasspitch.misc.Closer;
import org.eelgrasspitch.platform.PlatformNode;
import org.eelgrasspitch.proxy.LogDetail;
import org.eelgrasspitch.proxy.ProxyNode;
import org.eelgrasspitch.proxy.ProxySettings;
import org.eelgrasspitch.testkit.mesh.Documents;
import org.eelgrasspitch.testkit.mesh.RawCaller;
import org.eelgrasspitch.testkit.mesh.ServerStandIn;
import org.eelgrasspitch.testkit.mesh.StoreStandIn;

/**
 * A small deployment of the streaming proxy on loopback addresses: one store, and a
 * server with its node on each VM. A VM is named after its service and failure domain, as
 * in {@code desk-a}.
 */
final class PlatformWorld implements AutoCloseable {

	private static final long DEFAULT_STOP_MILLIS = 6_000;

	private static final double RETRY_RATIO = 0.2;

	private static final double RETRY_MINIMUM = 60;

	private static final long RETRY_WINDOW_MILLIS = 10_000;

	private static final int DEFAULT_SLOTS = 2;

	private static final String IDEMPOTENT = "idempotent";

	/**
	 * Loopback network of this process, so that two runs of the scenarios on one machine
	 * do not use the same addresses.
	 */
	private static final String NETWORK = "127." + (1 + ProcessHandle.current().pid() % 250) + ".7.";

	/** Ports below those that the system gives to outgoing connections. */
	private static final AtomicInteger NEXT_PORT = new AtomicInteger(21_000);

	private final Closer closer = new Closer();

	private final StoreStandIn store;

	private final int linkPort = freePort();

	private final int serverPort = freePort();

	private final int entryPort = freePort();

	private final int readinessPort = freePort();

	private final int metricsPort = freePort();

	private final Map<String, ServerStandIn> servers = new LinkedHashMap<>();

	/** Servers that have crashed and were started anew. */
	private final List<ServerStandIn> formerServers = new ArrayList<>();

	private final Map<String, ProxyNode> nodes = new LinkedHashMap<>();

	private final Map<String, String> addresses = new LinkedHashMap<>();

	private long version = 10;

	private int sequence;

	/** Slots that the servers announce. */
	private final int slots;

	/** Time that the nodes have to stop, in milliseconds. */
	private final long stopMillis;

	PlatformWorld() throws IOException {
		this(DEFAULT_SLOTS);
	}

	PlatformWorld(int slots) throws IOException {
		this(slots, DEFAULT_STOP_MILLIS);
	}

	PlatformWorld(int slots, long stopMillis) throws IOException {
		this.slots = slots;
		this.stopMillis = stopMillis;
		this.store = this.closer.register(new StoreStandIn(new InetSocketAddress("127.0.0.1", 0)));
	}

	StoreStandIn store() {
		return this.store;
	}

	ServerStandIn server(String vm) {
		return this.servers.get(vm);
	}

	List<ServerStandIn> servers() {
		return new ArrayList<>(this.servers.values());
	}

	ProxyNode node(String vm) {
		return this.nodes.get(vm);
	}

	void add(String vm) throws IOException {
		this.addresses.put(vm, NETWORK + (this.addresses.size() + 1));
		startServer(vm);
		startNode(vm);
		announce(vm, "ready");
	}

	void startServer(String vm) throws IOException {
		startServer(vm, "i-" + vm);
	}

	void startServer(String vm, String id) throws IOException {
		this.servers.put(vm, this.closer.register(new ServerStandIn(id, address(vm, this.serverPort))));
	}

	/**
	 * Starts the servers that have crashed.
	 * @throws IOException if an address stays in use
	 */
	void revive() throws IOException {
		for (String vm : List.copyOf(this.servers.keySet())) {
			if (this.servers.get(vm).isClosed()) {
				this.formerServers.add(this.servers.get(vm));
				startServer(vm);
			}
		}
	}

	/**
	 * Counts the requests for a path that reached any server, crashed ones included.
	 * @param path the path
	 * @return the number
	 */
	int startsOf(String path) {
		return (int) Stream.concat(this.servers.values().stream(), this.formerServers.stream())
			.flatMap((server) -> server.received().stream())
			.filter((received) -> received.path().equals(path))
			.count();
	}

	void startNode(String vm) {
		ProxySettings settings = new ProxySettings(vm, zone(vm), service(vm), address(vm, this.entryPort),
				address(vm, this.readinessPort), address(vm, this.linkPort), address(vm, this.metricsPort),
				address(vm, this.serverPort), this.store.address(), 0, this.stopMillis, RETRY_RATIO, RETRY_MINIMUM,
				RETRY_WINDOW_MILLIS, ProxySettings.DEFAULT_DRAIN_MILLIS, ProxySettings.DEFAULT_SETTLE_MILLIS,
				LogDetail.DEFAULT, ProxySettings.DEFAULT_LOG_LINES_PER_SECOND);
		this.nodes.put(vm, this.closer.register(PlatformNode.start(settings)));
	}

	void announce(String vm, String state) {
		this.store.put("servers/i-" + vm, Documents.entry(service(vm), address(vm, this.serverPort), zone(vm), state,
				++this.sequence, this.slots));
	}

	void withdraw(String vm) {
		this.store.remove("servers/i-" + vm);
	}

	/**
	 * Publishes a configuration: lookups to the desk, payments to pay, a split of both,
	 * and one more route.
	 * @param extra path prefix of the further route; empty for none
	 * @param service where the further route leads
	 */
	void publish(String extra, String service) {
		publish(extra.isEmpty() ? List.of() : List.of(extra), service);
	}

	void publishMany(int count, String service) {
		publish(IntStream.range(0, count).mapToObj((number) -> "/more" + number + "/").toList(), service);
	}

	private void publish(List<String> extras, String service) {
		StringBuilder rules = new StringBuilder();
		rules.append(Documents.rule("/desk/", IDEMPOTENT, 2, "\"service\":\"desk\"")).append(',');
		rules.append(Documents.rule("/pay/", "non_idempotent", 1, "\"service\":\"pay\"")).append(',');
		rules.append(Documents.rule("/split/", IDEMPOTENT, 2,
				"\"traffic_split\":[{\"service\":\"desk\",\"weight\":75},{\"service\":\"pay\",\"weight\":25}]"));
		extras.forEach((extra) -> rules.append(',')
			.append(Documents.rule(extra, IDEMPOTENT, 2, "\"service\":\"" + service + "\"")));
		this.store.put("op/config", Documents.config(this.version++, rules.toString(), "desk", "pay"));
	}

	RawCaller caller(String vm) throws IOException {
		InetSocketAddress entry = address(vm, this.entryPort);
		// Requesters and the server of a VM share its address.
		return this.closer.register(new RawCaller(entry, entry.getAddress()));
	}

	RawCaller caller(String vm, int receiveBufferBytes) throws IOException {
		InetSocketAddress entry = address(vm, this.entryPort);
		return this.closer.register(new RawCaller(entry, entry.getAddress(), receiveBufferBytes));
	}

	/**
	 * Asks a node whether it is ready.
	 * @param vm the node's VM
	 * @return the status; 0 without an answer
	 */
	int readiness(String vm) {
		try (RawCaller probe = new RawCaller(address(vm, this.readinessPort))) {
			probe.send("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
			return probe.read().status();
		}
		catch (IOException ex) {
			return 0;
		}
	}

	String observed(String vm, String path) throws IOException {
		try (RawCaller reader = new RawCaller(address(vm, this.metricsPort))) {
			reader.send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
			return reader.read().body();
		}
	}

	/**
	 * Returns which nodes read the store.
	 * @param vms names of the nodes' VMs, separated by spaces
	 * @return names of those that read it
	 */
	List<String> sourceReaders(String vms) throws IOException {
		List<String> readers = new ArrayList<>();
		for (String vm : vms.split(" ")) {
			if (observed(vm, "/metrics").contains("eelgrasspitch_proxy_source_reading 1.0")) {
				readers.add(vm);
			}
		}
		return readers;
	}

	/**
	 * Closes the first of some nodes that reads the store.
	 * @param vms names of the nodes' VMs, separated by spaces
	 * @return name of another of the VMs
	 */
	String closeSourceReader(String vms) throws IOException {
		String reader = sourceReaders(vms).getFirst();
		this.nodes.get(reader).close();
		return Stream.of(vms.split(" ")).filter((vm) -> !vm.equals(reader)).findFirst().orElseThrow();
	}

	@Override
	public void close() {
		this.closer.close();
	}

	private InetSocketAddress address(String vm, int port) {
		return new InetSocketAddress(this.addresses.get(vm), port);
	}

	private static String service(String vm) {
		return vm.substring(0, vm.indexOf('-'));
	}

	private static String zone(String vm) {
		return vm.substring(vm.indexOf('-') + 1);
	}

	private static int freePort() {
		return NEXT_PORT.getAndIncrement();
	}

}
