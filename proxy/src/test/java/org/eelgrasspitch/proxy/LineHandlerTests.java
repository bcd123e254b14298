package org.eelgrasspitch.proxy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.IntStream;

import org.eelgrasspitch.misc.TimeSource;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Logging under a storm and with an output that nobody reads.
 */
public class LineHandlerTests {

	private static final int CAPACITY = 100;

	private static final int LINES = 10_000;

	@Test(timeOut = 10_000)
	public void aStuckOutputBlocksNobodyAndLostLinesAreCounted() throws InterruptedException {
		CountDownLatch released = new CountDownLatch(1);
		ByteArrayOutputStream written = new ByteArrayOutputStream();
		LineHandler handler = new LineHandler(new PrintStream(new StuckOutput(released, written), true), CAPACITY);
		for (int i = 0; i < LINES; i++) {
			handler.publish(new LogRecord(Level.INFO, "{\"event\":\"x\"}"));
		}
		Assert.assertTrue(handler.dropped() >= LINES - 3 * CAPACITY, "dropped: " + handler.dropped());
		released.countDown();
		TimeUnit.MILLISECONDS.sleep(500);
		handler.publish(new LogRecord(Level.INFO, "{\"event\":\"y\"}"));
		TimeUnit.MILLISECONDS.sleep(500);
		String text = written.toString(StandardCharsets.UTF_8);
		Assert.assertTrue(text.contains("\"event\":\"log_dropped\",\"lines\":"), "the loss is reported");
		Assert.assertTrue(text.contains("\"event\":\"y\""));
	}

	@Test
	public void everyEventHasABound() {
		DecisionLog log = new DecisionLog("vm", new TimeSource() {
			@Override
			public long monotonicMillis() {
				return 0;
			}

			@Override
			public long wallMillis() {
				return 0;
			}
		});
		CountingHandler counter = new CountingHandler();
		Logger.getLogger("").addHandler(counter);
		for (int i = 0; i < LINES; i++) {
			log.log(LogEvent.REQUEST_FAILED, "request", "q\"\n" + i);
		}
		Logger.getLogger("").removeHandler(counter);
		Assert.assertTrue(counter.lines <= LogEvent.REQUEST_FAILED.linesPerSecond(), "lines: " + counter.lines);
	}

	@Test
	public void bothHopsKeepTheSameRequests() {
		long kept = IntStream.range(0, LINES).filter((number) -> DecisionLog.isSampled("request-" + number)).count();
		Assert.assertTrue(kept > LINES / 128 && kept < LINES / 32, "kept: " + kept);
	}

	private static final class CountingHandler extends Handler {

		private int lines;

		@Override
		public void publish(LogRecord entry) {
			this.lines++;
		}

		@Override
		public void flush() {
		}

		@Override
		public void close() {
		}

	}

	/**
	 * Blocks every write until it is released.
	 */
	private static final class StuckOutput extends OutputStream {

		private final CountDownLatch released;

		private final OutputStream output;

		StuckOutput(CountDownLatch released, OutputStream output) {
			this.released = released;
			this.output = output;
		}

		@Override
		public void write(int single) throws IOException {
			write(new byte[] { (byte) single }, 0, 1);
		}

		@Override
		public void write(byte[] bytes, int offset, int length) throws IOException {
			try {
				this.released.await();
			}
			catch (InterruptedException ex) {
				throw new IOException(ex);
			}
			this.output.write(bytes, offset, length);
		}

	}

}
