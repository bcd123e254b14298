import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The platform's store: items under one revision counter, paged listing and long-poll
 * watches. It can go away for a moment and come back from an earlier copy of itself.
 */
final class Store implements AutoCloseable {

	private static final int PAGE_ITEMS = 50;

	/** history_s of the site files. */
	private static final long HISTORY_NANOS = 20_000_000_000L;

	private record Item(byte[] value, long rev, long createRev) {
	}

	private record Event(String key, Item item, long rev, long atNanos) {
	}

	/** A copy of the store's content. */
	record Copy(TreeMap<String, Item> items, List<Event> events, long revision) {
	}

	private TreeMap<String, Item> items = new TreeMap<>();

	private List<Event> events = new ArrayList<>();

	private long revision = 100;

	private long oldestWatchable = 0;

	private long era = 1;

	/** Whether calls get no answer: new connections and waiting watches are reset. */
	private boolean away;

	/** Addresses at which calls get a reset, while the others and the operator are served. */
	private final Set<InetSocketAddress> rejecting = ConcurrentHashMap.newKeySet();

	private final Map<InetSocketAddress, Integer> calls = new ConcurrentHashMap<>();

	private final List<ServerSocket> listeners = new ArrayList<>();

	private final Map<Socket, InetSocketAddress> connections = new ConcurrentHashMap<>();

	Store(InetSocketAddress... addresses) throws IOException {
		for (InetSocketAddress address : addresses) {
			ServerSocket listener = new ServerSocket();
			listener.setReuseAddress(true);
			listener.bind(address, 256);
			this.listeners.add(listener);
			Thread.ofVirtual().start(() -> accept(listener, address));
		}
	}

	/** Writes an item; the return is the confirmation. */
	synchronized long put(String key, String value) {
		Item former = this.items.get(key);
		this.revision++;
		Item item = new Item(value.getBytes(StandardCharsets.UTF_8), this.revision,
				(former != null) ? former.createRev() : this.revision);
		this.items.put(key, item);
		this.events.add(new Event(key, item, this.revision, System.nanoTime()));
		notifyAll();
		return this.revision;
	}

	synchronized long remove(String key) {
		this.revision++;
		this.items.remove(key);
		this.events.add(new Event(key, null, this.revision, System.nanoTime()));
		notifyAll();
		return this.revision;
	}

	synchronized long revision() {
		return this.revision;
	}

	synchronized Copy copy() {
		return new Copy(new TreeMap<>(this.items), new ArrayList<>(this.events), this.revision);
	}

	/** Goes away: open connections are reset and new ones get a reset, too. */
	synchronized void goAway() {
		this.away = true;
		this.connections.keySet().forEach(Store::reset);
		notifyAll();
	}

	/** Turns one machine away: its connections are reset, open ones too. */
	synchronized void reject(InetSocketAddress address) {
		this.rejecting.add(address);
		this.connections.forEach((socket, of) -> {
			if (of.equals(address)) {
				reset(socket);
			}
		});
	}

	void serveAgain(InetSocketAddress address) {
		this.rejecting.remove(address);
	}

	/** Returns how many calls of a machine were taken. */
	int calls(InetSocketAddress address) {
		return this.calls.getOrDefault(address, 0);
	}

	/** Returns with its content as it was. */
	synchronized void comeBack() {
		this.away = false;
	}

	/** Returns with the content of a copy; revisions go back and the era rises by one. */
	synchronized void comeBackFrom(Copy copy) {
		this.items = new TreeMap<>(copy.items());
		this.events = new ArrayList<>(copy.events());
		this.revision = copy.revision();
		this.oldestWatchable = Math.min(this.oldestWatchable, this.revision);
		this.era++;
		this.away = false;
	}

	private void accept(ServerSocket listener, InetSocketAddress address) {
		while (true) {
			Socket socket;
			try {
				socket = listener.accept();
			}
			catch (IOException ex) {
				return;
			}
			Thread.ofVirtual().start(() -> serve(socket, address));
		}
	}

	private void serve(Socket socket, InetSocketAddress address) {
		this.connections.put(socket, address);
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			while (true) {
				String requestLine = Http.readLine(in);
				if (requestLine == null) {
					return;
				}
				String header;
				while ((header = Http.readLine(in)) != null && !header.isEmpty()) {
					// Only reads without a body are made.
				}
				synchronized (this) {
					if (this.away || this.rejecting.contains(address)) {
						reset(socket);
						return;
					}
				}
				this.calls.merge(address, 1, Integer::sum);
				answer(requestLine.split(" ")[1], out);
			}
		}
		catch (IOException | InterruptedException ex) {
			// The connection is over.
		}
		finally {
			this.connections.remove(socket);
		}
	}

	private void answer(String uri, OutputStream out) throws IOException, InterruptedException {
		int mark = uri.indexOf('?');
		String path = (mark < 0) ? uri : uri.substring(0, mark);
		Map<String, String> query = new HashMap<>();
		for (String part : ((mark < 0) ? "" : uri.substring(mark + 1)).split("&")) {
			int equals = part.indexOf('=');
			if (equals > 0) {
				query.put(part.substring(0, equals),
						URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		Thread.sleep(4);
		switch (path) {
			case "/api/kv-range" -> respond(out, 200, range(query));
			case "/api/kv-watch" -> {
				String changes = watch(query);
				respond(out, (changes != null) ? 200 : 410, (changes != null) ? changes : "{}");
			}
			case "/api/kv-key" -> {
				String item = item(query.get("key"));
				respond(out, (item != null) ? 200 : 404, (item != null) ? item : "{}");
			}
			default -> respond(out, 404, "{}");
		}
	}

	private synchronized String item(String key) {
		Item item = this.items.get(key);
		return (item != null) ? "{" + fields(key, item) + ",\"store_revision\":" + this.revision + "}" : null;
	}

	private synchronized String range(Map<String, String> query) {
		String prefix = query.getOrDefault("path_prefix", "");
		String after = query.getOrDefault("after", "");
		StringBuilder page = new StringBuilder();
		int count = 0;
		boolean more = false;
		for (Map.Entry<String, Item> entry : this.items.tailMap(after, false).entrySet()) {
			if (!entry.getKey().startsWith(prefix)) {
				continue;
			}
			if (count == PAGE_ITEMS) {
				more = true;
				break;
			}
			page.append((count++ == 0) ? "{" : ",{").append(fields(entry.getKey(), entry.getValue())).append("}");
		}
		return "{\"items\":[" + page + "],\"has_more\":" + more + ",\"store_revision\":" + this.revision + "}";
	}

	/** Returns the changes; null if the history does not reach back that far. */
	private synchronized String watch(Map<String, String> query) throws InterruptedException, IOException {
		String prefix = query.getOrDefault("path_prefix", "");
		long after = Long.parseLong(query.get("after"));
		long asked = this.era;
		long endNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
		while (true) {
			if (this.away || this.era != asked) {
				throw new IOException("the store is away");
			}
			discardOldHistory();
			if (after > this.revision || after < this.oldestWatchable) {
				return null;
			}
			List<Event> found = this.events.stream()
				.filter((event) -> event.rev() > after && event.key().startsWith(prefix))
				.toList();
			long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
			if (!found.isEmpty() || leftMillis <= 0) {
				StringBuilder text = new StringBuilder();
				for (Event event : found) {
					text.append(text.isEmpty() ? "{" : ",{")
						.append((event.item() != null) ? fields(event.key(), event.item())
								: "\"key\":" + Json.quote(event.key()) + ",\"rev\":" + event.rev() + ",\"removed\":true")
						.append("}");
				}
				return "{\"events\":[" + text + "],\"store_revision\":" + this.revision + "}";
			}
			wait(leftMillis);
		}
	}

	private void discardOldHistory() {
		while (!this.events.isEmpty() && System.nanoTime() - this.events.getFirst().atNanos() > HISTORY_NANOS) {
			this.oldestWatchable = this.events.removeFirst().rev();
		}
	}

	private static String fields(String key, Item item) {
		return "\"key\":" + Json.quote(key) + ",\"value\":\"" + Base64.getEncoder().encodeToString(item.value())
				+ "\",\"rev\":" + item.rev() + ",\"create_rev\":" + item.createRev() + ",\"lease\":0";
	}

	private void respond(OutputStream out, int status, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		String reason = (status == 200) ? "OK" : (status == 410) ? "Gone" : "Not Found";
		long currentEra;
		synchronized (this) {
			currentEra = this.era;
		}
		out.write(("HTTP/1.1 " + status + " " + reason + "\r\nContent-Type: application/json\r\nStore-Era: "
				+ currentEra + "\r\nContent-Length: " + bytes.length + "\r\n\r\n")
			.getBytes(StandardCharsets.US_ASCII));
		out.write(bytes);
		out.flush();
	}

	static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			// It is closed.
		}
	}

	@Override
	public void close() throws IOException {
		for (ServerSocket listener : this.listeners) {
			listener.close();
		}
		this.connections.keySet().forEach(Store::reset);
	}

	static InetAddress ip(String text) {
		try {
			return InetAddress.getByName(text);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
