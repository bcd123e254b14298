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
 * Assumed interface: {@code GET /v1/text} and {@code GET /v1/vms} with query parameters
 * {@code after} (a revision), {@code wait} (milliseconds) and {@code reader} (the VM's
 * name). The service answers 200 with the document when its revision is above
 * {@code after}, else it waits up to {@code wait} and answers 204; both carry the current
 * revision in the header {@code Revision}. This assumption stands in this class alone.
 */
final class PlatformClient implements AutoCloseable {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

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
			.connectionPool(new ConnectionPool(2, 1, TimeUnit.MINUTES))
			.followRedirects(false)
			.build();
	}

	/**
	 * Starts a call and drops the channel's earlier one.
	 * @param effect what to ask for
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
	 * Turns the answer of one call into an event.
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
				throw new IOException("status " + response.code());
			}
			byte[] content = read(response.body().source());
			PlatformClient.this.metrics.countPlatformBytes(content.length);
			return new FleetEvent.PlatformServed(this.effect.channel(), this.effect.sequence(), revision, content);
		}

		/**
		 * Reads at most one byte more than a document may have, which is enough to refuse
		 * it.
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
