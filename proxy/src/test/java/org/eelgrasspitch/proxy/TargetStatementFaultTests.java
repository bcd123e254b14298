package org.eelgrasspitch.proxy;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import org.eelgrasspitch.mesh.TargetStatements;
import org.eelgrasspitch.misc.TimeSource;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A home whose target states what it takes, while the nodes that send to it are frozen or
 * cut off.
 */
@Test(singleThreaded = true)
public class TargetStatementFaultTests {

	private static final HeaderNames NAMES = new HeaderNames("Id", "Left", "Signature", "Expected", "Not-Run",
			"Caller-Service", "Target", "Limit", "Leaving", "/ready");

	private static final double LIMIT_PER_SECOND = 10;

	/** Allowance of the platform in a span of 4 s: 1.5 times the limit and 5 more. */
	private static final int ALLOWED_IN_SPAN = (int) (1.5 * LIMIT_PER_SECOND * 4) + 5;

	private static final long SPAN_MILLIS = 4_000;

	private static final long SETTLE_MILLIS = 3_000;

	private static final long DRAIN_MILLIS = 2_000;

	private static final long DEADLINE_MILLIS = 2_000;

	private static final long TIMEOUT_SECONDS = 10;

	/** Monotonic times of arrivals at the target, in milliseconds. */
	private final Queue<Long> arrivals = new ConcurrentLinkedQueue<>();

	private final AtomicInteger refused = new AtomicInteger();

	private final AtomicInteger nextId = new AtomicInteger();

	private final TimeSource time = TimeSource.system();

	private volatile String statement;

	private NioEventLoopGroup group;

	private EventLoop loop;

	private ServerSocket target;

	private HomeService home;

	@BeforeMethod
	public void start() throws IOException {
		this.arrivals.clear();
		this.refused.set(0);
		this.statement = "";
		this.target = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::accept);
		InetSocketAddress address = (InetSocketAddress) this.target.getLocalSocketAddress();
		ProxySettings settings = new ProxySettings("vm-1", "a", "desk", address, address, address, address, address,
				address, 0, 1_000, 0.2, 10, 10_000, ProxySettings.DEFAULT_DRAIN_MILLIS,
				ProxySettings.DEFAULT_SETTLE_MILLIS, LogDetail.OFF, 1);
		this.group = new NioEventLoopGroup(1);
		this.loop = (EventLoop) this.group.next();
		ProxyContext context = new ProxyContext(settings, NAMES, this.loop, this.time, new SplittableRandom(1),
				new DecisionLog("vm-1", this.time, LogDetail.OFF, 1), new ProxyMetrics());
		this.home = new HomeService(context, new QuarantineKeeper(context));
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
		this.target.close();
	}

	@Test
	public void frozenHomeKeepsTheLimitWhenItWakes() throws Exception {
		long namedAt = nameLimit();
		send(40, SETTLE_MILLIS);
		this.loop.execute(() -> sleep(1_500));
		// These wait in the event loop as they would in the sockets of a frozen process.
		send(40, 1_500);
		send(40, 4_000);
		assertLimitKept(namedAt);
	}

	@Test
	public void limitHoldsWhenNodesThatWereCutOffReturnTogether() throws Exception {
		long namedAt = nameLimit();
		List<CallHandle> cutOff = send(40, SETTLE_MILLIS);
		// A lost link cancels its calls; after the cut all of them are sent again.
		this.loop.execute(() -> cutOff.forEach(CallHandle::cancel));
		sleep(1_000);
		for (int i = 0; i < 60; i++) {
			submit();
		}
		send(40, 4_000);
		assertLimitKept(namedAt);
	}

	@Test
	public void nodeThatWakesLateReachesNoTargetThatSaidItIsLeaving() throws Exception {
		this.statement = "Leaving: 1\r\n";
		awaitEnd(submit());
		sleep(DRAIN_MILLIS);
		int before = this.arrivals.size();
		Assert.assertEquals(before, 1);
		for (int i = 0; i < 20; i++) {
			submit();
		}
		sleep(500);
		Assert.assertEquals(this.arrivals.size(), before);
		Assert.assertEquals(this.refused.get(), 20);
	}

	@Test
	public void frozenHomeSendsNothingThatWaitedToATargetThatSaidItIsLeaving() throws Exception {
		this.statement = "Leaving: 1\r\n";
		awaitEnd(submit());
		this.loop.execute(() -> sleep(DRAIN_MILLIS));
		sleep(DRAIN_MILLIS + 300);
		int before = this.arrivals.size();
		for (int i = 0; i < 20; i++) {
			submit();
		}
		sleep(500);
		Assert.assertEquals(this.arrivals.size(), before);
	}

	private long nameLimit() throws Exception {
		this.statement = "Limit: " + LIMIT_PER_SECOND + "\r\n";
		awaitEnd(submit());
		return this.time.monotonicMillis();
	}

	/** Sends calls at a fixed rate for a time. */
	private List<CallHandle> send(int perSecond, long millis) throws Exception {
		List<CallHandle> calls = new ArrayList<>();
		long end = this.time.monotonicMillis() + millis;
		while (this.time.monotonicMillis() < end) {
			this.loop.execute(() -> calls.add(this.home.submit(head(), "vm-2", listener())));
			sleep(1_000 / perSecond);
		}
		return calls;
	}

	/** Sends a call and returns what is completed when it ends. */
	private CompletableFuture<Void> submit() {
		Listener listener = listener();
		this.loop.execute(() -> this.home.submit(head(), "vm-2", listener));
		return listener.ended();
	}

	private Listener listener() {
		return new Listener(this.refused, new CompletableFuture<>());
	}

	private static void awaitEnd(CompletableFuture<Void> ended) throws Exception {
		ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	private void assertLimitKept(long namedAt) {
		List<Long> times = List.copyOf(this.arrivals);
		for (long end = namedAt + SETTLE_MILLIS; end <= this.time.monotonicMillis(); end += 50) {
			long spanEnd = end;
			long count = times.stream().filter((at) -> at > spanEnd - SPAN_MILLIS && at <= spanEnd).count();
			Assert.assertTrue(count <= ALLOWED_IN_SPAN, count + " arrivals in 4 s, allowed " + ALLOWED_IN_SPAN);
		}
		Assert.assertTrue(times.size() > LIMIT_PER_SECOND, "arrivals: " + times.size());
	}

	private CallHead head() {
		long now = this.time.monotonicMillis();
		String id = "q" + this.nextId.getAndIncrement();
		return new CallHead(id, "route", "i-1", "GET", "/x",
				List.of("Host", "m.example", "Caller-Service", "desk", "Id", id), now + DEADLINE_MILLIS,
				now + DEADLINE_MILLIS, 1, true, false, false, TargetStatements.NO_LIMIT, CallHead.NO_BODY);
	}

	private void accept() {
		while (!this.target.isClosed()) {
			try {
				Socket accepted = this.target.accept();
				Thread.ofVirtual().start(() -> serve(accepted));
			}
			catch (IOException ex) {
				// The test has ended.
				return;
			}
		}
	}

	private void serve(Socket accepted) {
		try (accepted) {
			BufferedReader reader = new BufferedReader(
					new InputStreamReader(accepted.getInputStream(), StandardCharsets.US_ASCII));
			String id = "";
			for (String line = reader.readLine(); line != null; line = reader.readLine()) {
				if (line.toLowerCase().startsWith("id: ")) {
					id = line.substring("id: ".length());
				}
				if (line.startsWith("Expected") || line.startsWith("expected")) {
					this.arrivals.add(this.time.monotonicMillis());
				}
				if (line.isEmpty()) {
					accepted.getOutputStream()
						.write(("HTTP/1.1 200 OK\r\nId: " + id + "\r\nSignature: s\r\n" + this.statement
								+ "Content-Length: 0\r\n\r\n")
							.getBytes(StandardCharsets.US_ASCII));
				}
			}
		}
		catch (IOException ex) {
			// The home may close the connection at any time.
			return;
		}
	}

	private static void sleep(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Counts refusals and tells when a call has ended.
	 *
	 * @param refused number of calls that were refused
	 * @param ended completed when the response is complete or the call has failed
	 */
	private record Listener(AtomicInteger refused, CompletableFuture<Void> ended) implements CallListener {

		@Override
		public void startRequested() {
			throw new AssertionError("asked for permission to start an idempotent call");
		}

		@Override
		public void replied(ReplyHead head) {
			Assert.assertEquals(head.status(), 200);
		}

		@Override
		public void data(byte[] content, boolean last) {
			Assert.assertEquals(content.length, 0);
			if (last) {
				this.ended.complete(null);
			}
		}

		@Override
		public void credit(int bytes) {
			// The requests have no body.
		}

		@Override
		public void failed(CallFailure failure) {
			if (!failure.mayHaveRun()) {
				this.refused.incrementAndGet();
			}
			this.ended.completeExceptionally(new IllegalStateException(failure.toString()));
		}

	}

}
