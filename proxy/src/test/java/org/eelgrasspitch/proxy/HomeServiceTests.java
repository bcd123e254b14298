package org.eelgrasspitch.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import org.eelgrasspitch.mesh.StopSequence;
import org.eelgrasspitch.mesh.TargetStatements;
import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.misc.TimeSource;
import org.eelgrasspitch.proxy.generated.LinkDeath;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A home whose target accepts connections and never responds.
 */
public class HomeServiceTests {

	private static final HeaderNames NAMES = new HeaderNames("Id", "Left", "Signature", "Expected", "Not-Run",
			"Caller-Service", "Target", "Limit", "Leaving", "/ready");

	/** Slots that a home assumes until its target's entry is published. */
	private static final int SLOTS = 4;

	private static final long TIMEOUT_SECONDS = 10;

	private static final long STOP_MILLIS = 1_000;

	private NioEventLoopGroup group;

	private ServerSocket target;

	private QuarantineKeeper quarantine;

	private HomeService home;

	private TimeSource time;

	@BeforeMethod
	public void start() throws IOException {
		this.target = new ServerSocket(0, SLOTS * 2, InetAddress.getLoopbackAddress());
		InetSocketAddress address = (InetSocketAddress) this.target.getLocalSocketAddress();
		ProxySettings settings = new ProxySettings("vm-1", "a", "desk", address, address, address, address, address,
				address, 0, 1_000, 0.2, 10, 10_000, ProxySettings.DEFAULT_DRAIN_MILLIS,
				ProxySettings.DEFAULT_SETTLE_MILLIS, LogDetail.OFF, 1);
		this.group = new NioEventLoopGroup(1);
		this.time = TimeSource.system();
		ProxyContext context = new ProxyContext(settings, NAMES, (EventLoop) this.group.next(), this.time,
				new SplittableRandom(1), new DecisionLog("vm-1", this.time, LogDetail.OFF, 1), new ProxyMetrics());
		this.quarantine = new QuarantineKeeper(context);
		this.home = new HomeService(context, this.quarantine);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
		this.target.close();
	}

	@Test
	public void requestThatIsQuarantinedWhileItWaitsIsNotSent() throws Exception {
		List<CallHandle> running = new ArrayList<>();
		for (int i = 0; i < SLOTS; i++) {
			running.add(submit("/other" + i).handle());
		}
		Submitted waiting = submit("/crash");
		Digest fingerprint = Fingerprints.of("GET", "m.example", "/crash", "desk", new byte[0]);
		for (long crash = 1; crash <= 3; crash++) {
			LinkDeath notice = new LinkDeath(ByteBuffer.wrap(fingerprint.bytes()), "i-elsewhere").setCrash(crash);
			onLoop(() -> {
				this.quarantine.handleCrashNotice(notice, true);
				return null;
			});
		}
		onLoop(() -> {
			running.getFirst().cancel();
			return null;
		});
		CallFailure failure = waiting.failure().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		Assert.assertEquals(failure.reason(), FailureReason.QUARANTINED);
		Assert.assertFalse(failure.reachedTarget());
		Submitted next = submit("/next");
		Assert.assertFalse(next.failure().isDone(), "its slot is free again");
	}

	// Guards against a node that reports a crash because its own end closes connections.
	@Test
	public void endOfTheNodeIsNotTakenForACrashOfItsTarget() throws Exception {
		submit("/running");
		this.target.accept().getInputStream().read();
		onLoop(() -> {
			this.home.close();
			return null;
		});
		this.group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		Assert.assertEquals(this.quarantine.suspectCount(), 0, "requests suspected of a crash");
	}

	// The target began it when the home had said its last answers.
	@Test
	public void callThatWaitsForAConnectionStartsAfterTheLastAnswers() throws Exception {
		Submitted connecting = onLoop(() -> {
			CompletableFuture<CallFailure> failure = new CompletableFuture<>();
			CallHandle handle = this.home.submit(head("/pay"), "vm-2", new Listener(failure));
			this.home.refuseUnstarted();
			return new Submitted(handle, failure);
		});
		CallFailure failure = connecting.failure().get(2, TimeUnit.SECONDS);
		Assert.assertEquals(failure.reason(), FailureReason.LEAVING);
		Assert.assertFalse(failure.mayHaveRun());
	}

	// The target had begun it for longer than the home was to last, and it was cut off.
	@Test
	public void callThatOutlastsItsHomeIsStarted() throws Exception {
		submit("/slow");
		TimeUnit.MILLISECONDS.sleep(STOP_MILLIS);
		onLoop(() -> {
			this.home.beginStop(new StopSequence(STOP_MILLIS, this.time.monotonicMillis()));
			return null;
		});
		CallFailure failure = submit("/pay").failure().get(STOP_MILLIS / 2, TimeUnit.MILLISECONDS);
		Assert.assertEquals(failure.reason(), FailureReason.LEAVING);
		Assert.assertFalse(failure.mayHaveRun());
	}

	private Submitted submit(String uri) throws Exception {
		CompletableFuture<CallFailure> failure = new CompletableFuture<>();
		return onLoop(() -> new Submitted(this.home.submit(head(uri), "vm-2", new Listener(failure)), failure));
	}

	private CallHead head(String uri) {
		long deadline = this.time.monotonicMillis() + TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS);
		return new CallHead("q" + uri, "route", "i-1", "GET", uri,
				List.of("Host", "m.example", "Caller-Service", "desk"), deadline, deadline, 1, true, false, false,
				TargetStatements.NO_LIMIT, CallHead.NO_BODY);
	}

	private <T> T onLoop(Callable<T> task) throws Exception {
		return this.group.submit(task).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * A call and its end.
	 *
	 * @param handle passes the rest of the call
	 * @param failure completed when the call fails
	 */
	private record Submitted(CallHandle handle, CompletableFuture<CallFailure> failure) {

	}

	/**
	 * Waits for the failure of a call.
	 *
	 * @param failure completed with it
	 */
	private record Listener(CompletableFuture<CallFailure> failure) implements CallListener {

		@Override
		public void startRequested() {
			throw new AssertionError("asked for permission to start an idempotent call");
		}

		@Override
		public void replied(ReplyHead head) {
			throw new AssertionError("response " + head.status());
		}

		@Override
		public void data(byte[] content, boolean last) {
			throw new AssertionError("body of " + content.length + " bytes");
		}

		@Override
		public void credit(int bytes) {
			// The requests have no body.
		}

		@Override
		public void failed(CallFailure ended) {
			this.failure.complete(ended);
		}

	}

}
