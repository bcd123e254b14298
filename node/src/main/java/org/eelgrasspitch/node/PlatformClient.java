package org.eelgrasspitch.node;

import java.io.IOException;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import okio.BufferedSource;
import org.eelgrasspitch.fleet.FleetEffect;
import org.eelgrasspitch.fleet.FleetEvent;
import org.eelgrasspitch.text.Channel;
import org.eelgrasspitch.text.DocumentParser;

/**
 * Reads and watches the platform's configuration service over HTTP.
 * <p>
 * Assumed interface: {@code GET /v1/text} and {@code GET /v1/vms} with the query
 * parameters {@code after} (a revision), {@code wait} (milliseconds) and {@code reader}
 * (name of the VM). The service responds with 200 and the document if its revision is
 * above {@code after}; otherwise it waits up to {@code wait} and responds with 204. Both
 * responses carry the current revision in the header {@code Revision}. No other class
 * depends on this assumption.
 * <p>
 * A response names neither its call nor its document. Each call therefore has a
 * connection of its own, so that a response that arrives a second time cannot be taken
 * for that to the next call.
 */
final class PlatformClient implements AutoCloseable {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	/** Timeout of a call in addition to the time for which the service may wait. */
	private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(3);

	private static final int OK = 200;

	private static final int NO_CONTENT = 204;

	private static final String REVISION_HEADER = "Revision";

	private final HttpUrl baseUrl;

	private final String reader;

	private final Consumer<FleetEvent> eventConsumer;

	private final NodeMetrics metrics;

	private final OkHttpClient client;

	/** The latest call of each channel. */
	private final Map<Channel, Call> latestCalls = new EnumMap<>(Channel.class);

	PlatformClient(NodeSettings settings, NodeMetrics metrics, Consumer<FleetEvent> eventConsumer) {
		this.baseUrl = HttpUrl.get(settings.platformUrl());
		this.reader = settings.vm();
		this.metrics = metrics;
		this.eventConsumer = eventConsumer;
		this.client = new OkHttpClient.Builder().connectTimeout(CONNECT_TIMEOUT)
			.dispatcher(new Dispatcher())
			// No connection is kept: an answer names no call.
			.connectionPool(new ConnectionPool(0, 1, TimeUnit.MINUTES))
			.followRedirects(false)
			.build();
	}

	/**
	 * Starts a call and cancels the previous call of the same channel.
	 * @param effect the call to make
	 */
	void call(FleetEffect.CallPlatform effect) {
		Call previous = this.latestCalls.get(effect.channel());
		if (previous != null) {
			previous.cancel();
		}
		HttpUrl url = this.baseUrl.newBuilder()
			.addPathSegments((effect.channel() == Channel.TEXT) ? "v1/text" : "v1/vms")
			.addQueryParameter("after", Long.toString(effect.afterRevision()))
			.addQueryParameter("wait", Long.toString(effect.waitMillis()))
			.addQueryParameter("reader", this.reader)
			.build();
		Duration timeout = RESPONSE_TIMEOUT.plusMillis(effect.waitMillis());
		Call call = this.client.newBuilder()
			.readTimeout(timeout)
			.callTimeout(timeout)
			.build()
			.newCall(new Request.Builder().url(url).build());
		this.latestCalls.put(effect.channel(), call);
		this.metrics.countPlatformCall(effect.channel());
		call.enqueue(new ResponseHandler(effect));
	}

	@Override
	public void close() {
		this.client.dispatcher().cancelAll();
		this.client.dispatcher().executorService().shutdown();
		this.client.connectionPool().evictAll();
	}

	/**
	 * Converts the response to one call into an event.
	 */
	private final class ResponseHandler implements Callback {

		private final FleetEffect.CallPlatform effect;

		ResponseHandler(FleetEffect.CallPlatform effect) {
			this.effect = effect;
		}

		@Override
		public void onFailure(Call call, IOException cause) {
			failed();
		}

		@Override
		public void onResponse(Call call, Response response) {
			try (response) {
				PlatformClient.this.eventConsumer.accept(event(response));
			}
			catch (IOException | NumberFormatException ex) {
				failed();
			}
		}

		private FleetEvent event(Response response) throws IOException {
			long revision = Long.parseLong(String.valueOf(response.header(REVISION_HEADER)));
			if (response.code() == NO_CONTENT) {
				return new FleetEvent.PlatformUnchanged(this.effect.channel(), this.effect.sequence(), revision);
			}
			if (response.code() != OK) {
				throw new IOException("unexpected HTTP status " + response.code());
			}
			byte[] content = read(response.body().source());
			PlatformClient.this.metrics.countPlatformBytes(content.length);
			return new FleetEvent.PlatformServed(this.effect.channel(), this.effect.sequence(), revision, content);
		}

		/**
		 * Reads at most one byte more than the maximum document size, which is enough to
		 * detect that the document is too large.
		 */
		private byte[] read(BufferedSource source) throws IOException {
			source.request(DocumentParser.MAX_DOCUMENT_BYTES + 1L);
			long length = Math.min(source.getBuffer().size(), DocumentParser.MAX_DOCUMENT_BYTES + 1L);
			return source.readByteArray(length);
		}

		private void failed() {
			PlatformClient.this.eventConsumer
				.accept(new FleetEvent.PlatformFailed(this.effect.channel(), this.effect.sequence()));
		}

	}

}
