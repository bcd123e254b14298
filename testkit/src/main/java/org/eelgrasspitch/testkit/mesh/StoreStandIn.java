package org.eelgrasspitch.testkit.mesh;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.eelgrasspitch.testkit.Cluster;

/**
 * Stands in for the platform's key-value store: items under one revision counter, paged
 * listing, long-poll watches, compaction, restoration from a copy and switchable faults.
 */
public final class StoreStandIn implements AutoCloseable {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int GONE = 410;

	private static final int UNAVAILABLE = 503;

	private static final int PAGE_ITEMS = 3;

	private static final long POLL_MILLIS = 10;

	/** Delay of each response under {@link Fault#SLOW}. */
	private static final long SLOW_DELAY_MILLIS = 400;

	/** Time that a connection stays open after a lost response. */
	private static final long LOST_RESPONSE_MILLIS = 5_000;

	private final HttpServer server;

	private final TreeMap<String, Item> items = new TreeMap<>();

	private final List<Event> events = new ArrayList<>();

	private final AtomicInteger calls = new AtomicInteger();

	private long revision = 100;

	/**
	 * Changes up to this revision are compacted; watches from before it get status 410.
	 */
	private long compactedRevision;

	/** Number of restorations, plus one; named in every response. */
	private long era = 1;

	/** The copy that was taken last; null before the first. */
	private Copy copy;

	private volatile Fault fault = Fault.NONE;

	/**
	 * Starts a store.
	 * @param address address to listen on
	 * @throws IOException if the address cannot be bound
	 */
	public StoreStandIn(InetSocketAddress address) throws IOException {
		this.server = HttpServer.create(address, 0);
		this.server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	/**
	 * Returns the address it listens on.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.server.getAddress();
	}

	/**
	 * Returns how many calls arrived since the start, failed ones included.
	 * @return the number
	 */
	public int calls() {
		return this.calls.get();
	}

	/**
	 * Writes an item under the next revision.
	 * @param key its key
	 * @param value its content, stored in UTF-8
	 */
	public synchronized void put(String key, String value) {
		this.revision++;
		Item item = new Item(value.getBytes(StandardCharsets.UTF_8), this.revision);
		this.items.put(key, item);
		this.events.add(new Event(key, this.revision, item));
	}

	/**
	 * Removes an item under the next revision.
	 * @param key its key
	 */
	public synchronized void remove(String key) {
		this.revision++;
		this.items.remove(key);
		this.events.add(new Event(key, this.revision, null));
	}

	/**
	 * Compacts the history up to the current revision.
	 */
	public synchronized void compact() {
		this.compactedRevision = this.revision;
	}

	/**
	 * Takes a copy of the items and the history.
	 */
	public synchronized void takeCopy() {
		this.copy = new Copy(new TreeMap<>(this.items), List.copyOf(this.events), this.revision);
	}

	/**
	 * Restores the copy that was taken last. What was written since is lost, its
	 * revisions are given out again, and a later era begins.
	 */
	public synchronized void restoreCopy() {
		this.items.clear();
		this.items.putAll(this.copy.items);
		this.events.clear();
		this.events.addAll(this.copy.events);
		this.revision = this.copy.revision;
		this.era++;
	}

	/**
	 * Sets the fault that applies from now on.
	 * @param fault the fault; {@link Fault#NONE} ends the current one
	 */
	public void setFault(Fault fault) {
		this.fault = fault;
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	private void handle(HttpExchange exchange) throws IOException {
		this.calls.incrementAndGet();
		Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
		if (injectFault(exchange)) {
			return;
		}
		switch (exchange.getRequestURI().getPath()) {
			case "/api/kv-range" -> respond(exchange, OK, range(query));
			case "/api/kv-watch" -> watch(exchange, query);
			default -> respond(exchange, NOT_FOUND, "{}");
		}
	}

	private boolean injectFault(HttpExchange exchange) throws IOException {
		switch (this.fault) {
			case NONE -> {
				return false;
			}
			case BUSY -> respond(exchange, UNAVAILABLE, "{}");
			case SLOW -> {
				Cluster.sleep(SLOW_DELAY_MILLIS);
				return false;
			}
			case LOSSY -> {
				if (this.calls.get() % 2 == 0) {
					return false;
				}
				// Accept the call but send no response.
				Cluster.sleep(LOST_RESPONSE_MILLIS);
				exchange.close();
			}
			case RESET -> exchange.close();
			case SILENT -> {
				while (this.fault == Fault.SILENT) {
					Cluster.sleep(POLL_MILLIS);
				}
				exchange.close();
			}
		}
		return true;
	}

	private synchronized String range(Map<String, String> query) {
		String prefix = query.get("path_prefix");
		String after = query.getOrDefault("after", "");
		List<Map.Entry<String, Item>> matching = this.items.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().startsWith(prefix) && entry.getKey().compareTo(after) > 0)
			.toList();
		String page = matching.stream()
			.limit(PAGE_ITEMS)
			.map((entry) -> json(entry.getKey(), entry.getValue()))
			.collect(Collectors.joining(","));
		return "{\"items\":[" + page + "],\"has_more\":" + (matching.size() > PAGE_ITEMS) + ",\"store_revision\":"
				+ this.revision + "}";
	}

	private void watch(HttpExchange exchange, Map<String, String> query) throws IOException {
		long after = Long.parseLong(query.get("after"));
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.get("wait_ms")));
		long askedEra = era();
		while (true) {
			if (era() != askedEra) {
				exchange.close();
				return;
			}
			if (!isAvailable(after)) {
				respond(exchange, GONE, "{}");
				return;
			}
			if (this.fault.affectsWatches() && injectFault(exchange)) {
				return;
			}
			String changes = changes(query.get("path_prefix"), after);
			if (!changes.startsWith("{\"events\":[]") || System.nanoTime() > deadlineNanos) {
				respond(exchange, OK, changes);
				return;
			}
			Cluster.sleep(POLL_MILLIS);
		}
	}

	private synchronized boolean isAvailable(long after) {
		return after >= this.compactedRevision && after <= this.revision;
	}

	private synchronized long era() {
		return this.era;
	}

	private synchronized String changes(String prefix, long after) {
		String changed = this.events.stream()
			.filter((event) -> event.revision > after && event.key.startsWith(prefix))
			.map((event) -> (event.item != null) ? json(event.key, event.item)
					: "{\"key\":\"" + event.key + "\",\"rev\":" + event.revision + ",\"removed\":true}")
			.collect(Collectors.joining(","));
		return "{\"events\":[" + changed + "],\"store_revision\":" + this.revision + "}";
	}

	private static String json(String key, Item item) {
		return "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(item.value) + "\",\"rev\":"
				+ item.revision + ",\"create_rev\":" + item.revision + ",\"lease\":0}";
	}

	private void respond(HttpExchange exchange, int status, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Store-Era", Long.toString(era()));
		exchange.sendResponseHeaders(status, bytes.length);
		try (exchange) {
			exchange.getResponseBody().write(bytes);
		}
	}

	private static Map<String, String> query(String raw) {
		Map<String, String> query = new HashMap<>();
		for (String part : raw.split("&")) {
			int equals = part.indexOf('=');
			query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
		}
		return query;
	}

	/**
	 * Faults of the store.
	 */
	public enum Fault {

		/** No fault. */
		NONE,

		/** Every call gets status 503. */
		BUSY,

		/** Every response is delayed. */
		SLOW,

		/** Every second call gets no response. */
		LOSSY,

		/** Connections are closed without a response. */
		RESET,

		/** Calls hang while the fault lasts; then their connections close. */
		SILENT;

		/**
		 * Returns whether the fault also applies to watches that already wait.
		 * @return true when waiting watches fail as well
		 */
		boolean affectsWatches() {
			return this == BUSY || this == RESET || this == SILENT;
		}

	}

	private record Item(byte[] value, long revision) {

	}

	private record Copy(TreeMap<String, Item> items, List<Event> events, long revision) {

	}

	private record Event(String key, long revision, Item item) {

	}

}
