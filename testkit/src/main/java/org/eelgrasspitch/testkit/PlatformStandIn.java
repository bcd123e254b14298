package org.eelgrasspitch.testkit;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.StatusCode;
import org.eelgrasspitch.misc.Closer;
import org.eelgrasspitch.text.Channel;

/**
 * Stands in for the platform's configuration service. Readers read and watch
 * ({@code GET /v1/text}, {@code GET /v1/vms}); operators publish
 * ({@code PUT /publish/text}, {@code PUT /publish/vms}); tests switch faults
 * ({@code POST /faults}) and read counts ({@code GET /counts}).
 * <p>
 * A new VM list becomes visible only after the configured lag. While stale, the service
 * keeps serving the documents from when the fault began. During an outage, and to readers
 * that are cut off, it sends no response at all.
 */
public final class PlatformStandIn implements AutoCloseable {

	private static final int OK = 200;

	private static final int NO_CONTENT = 204;

	private final Closer closer = new Closer();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	/** Documents as published; guarded by this object's monitor, like all state below. */
	private final Map<Channel, Published> published = new EnumMap<>(Channel.class);

	/** Documents as served; differ from the published ones while stale or lagging. */
	private final Map<Channel, Published> served = new EnumMap<>(Channel.class);

	private final List<Watch> watches = new ArrayList<>();

	private final Map<String, ReaderCount> counts = new TreeMap<>();

	private final Set<String> cutReaders = new HashSet<>();

	private boolean outage;

	private boolean stale;

	private long delayMillis;

	private long vmsLagMillis;

	/**
	 * Starts the service.
	 * @param address address to listen on
	 */
	public PlatformStandIn(InetSocketAddress address) {
		this.closer.register(this.timer::shutdownNow);
		Jooby app = new Jooby();
		app.get("/v1/text", (context) -> read(Channel.TEXT, context));
		app.get("/v1/vms", (context) -> read(Channel.VMS, context));
		app.put("/publish/text", (context) -> publish(Channel.TEXT, context));
		app.put("/publish/vms", (context) -> publish(Channel.VMS, context));
		app.post("/faults", this::faults);
		app.get("/counts", (context) -> json(context, counts()));
		this.closer.register(new StandInServer(app, address));
	}

	/**
	 * Publishes a document.
	 * @param channel the document's channel
	 * @param content its bytes, not validated
	 * @return its revision, counted from 1
	 */
	public synchronized long publish(Channel channel, byte[] content) {
		Published previous = this.published.get(channel);
		long revision = (previous != null) ? previous.revision() + 1 : 1;
		this.published.put(channel, new Published(revision, content));
		long lag = (channel == Channel.VMS) ? this.vmsLagMillis : 0;
		if (lag == 0) {
			serveLatest(channel);
		}
		else {
			this.timer.schedule(() -> serveLatest(channel), lag, TimeUnit.MILLISECONDS);
		}
		return revision;
	}

	/**
	 * Switches an outage on or off.
	 * @param on whether all reads stay without a response
	 */
	public synchronized void outage(boolean on) {
		this.outage = on;
	}

	/**
	 * Switches staleness on or off.
	 * @param on true to keep serving the current documents, false to serve the latest
	 */
	public synchronized void stale(boolean on) {
		this.stale = on;
		if (!on) {
			this.published.keySet().forEach(this::serveLatest);
		}
	}

	/**
	 * Serves an older document, as a replica that lags behind would, and switches
	 * staleness on.
	 * @param channel the document's channel
	 * @param revision its revision
	 * @param content its bytes
	 */
	public synchronized void serveOld(Channel channel, long revision, byte[] content) {
		this.stale = true;
		this.served.put(channel, new Published(revision, content));
	}

	/**
	 * Sets the delay of every response to a reader.
	 * @param millis milliseconds
	 */
	public synchronized void delayMillis(long millis) {
		this.delayMillis = millis;
	}

	/**
	 * Sets the delay until a newly published VM list becomes visible.
	 * @param millis milliseconds
	 */
	public synchronized void vmsLagMillis(long millis) {
		this.vmsLagMillis = millis;
	}

	/**
	 * Cuts a reader off or reconnects it.
	 * @param reader name of the reader's VM
	 * @param cut whether its reads stay without a response
	 */
	public synchronized void cut(String reader, boolean cut) {
		if (cut) {
			this.cutReaders.add(reader);
		}
		else {
			this.cutReaders.remove(reader);
		}
	}

	/**
	 * Returns calls and bytes since the start.
	 * @return counts with one entry for each reader, in alphabetical order
	 */
	public synchronized Counts counts() {
		return new Counts(List.copyOf(this.counts.values()), this.watches.size());
	}

	/**
	 * Returns whether a reader has a watch that is waiting.
	 * @param reader name of the reader's VM
	 * @param channel the channel it watches
	 * @return true while one is waiting
	 */
	public synchronized boolean isWatching(String reader, Channel channel) {
		return this.watches.stream().anyMatch((watch) -> watch.channel() == channel && watch.reader().equals(reader));
	}

	@Override
	public void close() {
		this.closer.close();
	}

	private synchronized void serveLatest(Channel channel) {
		if (this.stale) {
			return;
		}
		this.served.put(channel, this.published.get(channel));
		for (Watch watch : List.copyOf(this.watches)) {
			if (watch.channel() == channel) {
				complete(watch);
			}
		}
	}

	private Object read(Channel channel, Context context) throws Exception {
		long after = context.query("after").longValue(0);
		long wait = context.query("wait").longValue(0);
		String reader = context.query("reader").value("");
		return context.detach((detached) -> {
			handleRead(new Watch(channel, after, reader, context), wait);
			return context;
		});
	}

	private synchronized void handleRead(Watch watch, long waitMillis) {
		count(watch.reader(), 1, 0);
		if (isUnreachable(watch)) {
			return;
		}
		if (waitMillis == 0 || hasNewRevision(watch)) {
			complete(watch);
			return;
		}
		this.watches.add(watch);
		this.timer.schedule(() -> complete(watch), waitMillis, TimeUnit.MILLISECONDS);
	}

	private synchronized void complete(Watch watch) {
		this.watches.remove(watch);
		if (isUnreachable(watch) || !watch.done().compareAndSet(false, true)) {
			return;
		}
		if (this.delayMillis > 0) {
			this.timer.schedule(() -> respond(watch), this.delayMillis, TimeUnit.MILLISECONDS);
			return;
		}
		respond(watch);
	}

	private synchronized void respond(Watch watch) {
		Published document = this.served.get(watch.channel());
		Context context = watch.context();
		context.setResponseHeader("Revision", Long.toString((document != null) ? document.revision() : 0));
		if (document == null || document.revision() <= watch.after()) {
			context.setResponseCode(StatusCode.valueOf(NO_CONTENT));
			context.send(new byte[0]);
			return;
		}
		count(watch.reader(), 0, document.content().length);
		context.setResponseCode(StatusCode.valueOf(OK));
		context.send(document.content());
	}

	private boolean hasNewRevision(Watch watch) {
		Published document = this.served.get(watch.channel());
		return document != null && document.revision() > watch.after();
	}

	private boolean isUnreachable(Watch watch) {
		return this.outage || this.cutReaders.contains(watch.reader());
	}

	private void count(String reader, int calls, int bytes) {
		ReaderCount previous = this.counts.getOrDefault(reader, new ReaderCount(reader, 0, 0));
		this.counts.put(reader, new ReaderCount(reader, previous.calls() + calls, previous.bytes() + bytes));
	}

	private Object publish(Channel channel, Context context) {
		return json(context, new Revision(publish(channel, context.body().bytes())));
	}

	private Object faults(Context context) {
		context.query("outage").toOptional().ifPresent((on) -> outage(Boolean.parseBoolean(on)));
		context.query("stale").toOptional().ifPresent((on) -> stale(Boolean.parseBoolean(on)));
		context.query("delayMillis").toOptional().ifPresent((millis) -> delayMillis(Long.parseLong(millis)));
		context.query("vmsLagMillis").toOptional().ifPresent((millis) -> vmsLagMillis(Long.parseLong(millis)));
		context.query("cut").toOptional().ifPresent((reader) -> cut(reader, true));
		context.query("heal").toOptional().ifPresent((reader) -> cut(reader, false));
		return json(context, counts());
	}

	private static Object json(Context context, Object body) {
		context.setResponseType(MediaType.json);
		return context.send(Json.write(body));
	}

	/**
	 * A document with its revision.
	 *
	 * @param revision its revision, counted from 1
	 * @param content its bytes
	 */
	private record Published(long revision, byte[] content) {

	}

	/**
	 * A read that is waiting or about to be completed.
	 *
	 * @param channel which document
	 * @param after only a revision above this one completes the watch early
	 * @param reader name of the reader's VM
	 * @param context request context for the response
	 * @param done true once completed
	 */
	private record Watch(Channel channel, long after, String reader, Context context, AtomicBoolean done) {

		Watch(Channel channel, long after, String reader, Context context) {
			this(channel, after, reader, context, new AtomicBoolean());
		}

	}

	/**
	 * Response to a publication.
	 *
	 * @param revision revision that was assigned to the document
	 */
	public record Revision(long revision) {

	}

	/**
	 * Calls and bytes of one reader.
	 *
	 * @param reader name of the reader's VM
	 * @param calls number of reads; a watch counts as one
	 * @param bytes bytes of the documents served to it
	 */
	public record ReaderCount(String reader, long calls, long bytes) {

	}

	/**
	 * Calls and bytes of all readers.
	 *
	 * @param readers one entry for each reader
	 * @param waiting number of watches that are waiting
	 */
	public record Counts(List<ReaderCount> readers, int waiting) {

		/**
		 * Returns the calls of all readers.
		 * @return the sum
		 */
		public long calls() {
			return this.readers.stream().mapToLong(ReaderCount::calls).sum();
		}

		/**
		 * Returns the bytes served to one reader.
		 * @param reader name of the reader's VM
		 * @return the bytes, 0 for an unknown reader
		 */
		public long bytes(String reader) {
			return this.readers.stream()
				.filter((count) -> count.reader().equals(reader))
				.mapToLong(ReaderCount::bytes)
				.sum();
		}

	}

}
