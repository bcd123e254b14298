package org.eelgrasspitch.proxy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests that logging does not block when the log output is not read, and that dropped
 * lines are reported.
 */
public class AsyncLogHandlerTests {

	private static final int CAPACITY = 100;

	private static final int LINES = 10_000;

	@Test(timeOut = 10_000)
	public void blockedOutputDoesNotBlockLoggersAndDroppedLinesAreCounted() throws InterruptedException {
		BlockedOutput output = new BlockedOutput();
		AsyncLogHandler handler = new AsyncLogHandler(new PrintStream(output, true), CAPACITY);
		handler.publish(new LogRecord(Level.INFO, "{\"event\":\"first\"}"));
		output.entered.await();
		for (int i = 0; i < LINES; i++) {
			handler.publish(new LogRecord(Level.INFO, "{\"event\":\"x\"}"));
		}
		Assert.assertEquals(handler.dropped(), LINES - CAPACITY);
		output.released.countDown();
		Assert.assertEquals(output.written.take(), "{\"event\":\"first\"}\n");
		Assert.assertEquals(output.written.take(), "{\"event\":\"log_dropped\",\"lines\":" + (LINES - CAPACITY) + "}\n"
				+ "{\"event\":\"x\"}\n".repeat(CAPACITY));
		handler.publish(new LogRecord(Level.INFO, "{\"event\":\"y\"}"));
		Assert.assertEquals(output.written.take(), "{\"event\":\"y\"}\n");
	}

	// Guards against a last line, such as that of the stop, that ends with the process.
	@Test
	public void lineThatWaitsForItsBatchIsWrittenAtTheClose() throws InterruptedException {
		ByteArrayOutputStream written = new ByteArrayOutputStream();
		AsyncLogHandler handler = new AsyncLogHandler(new PrintStream(written, true), CAPACITY);
		handler.publish(new LogRecord(Level.INFO, "{\"event\":\"last\"}"));
		TimeUnit.MILLISECONDS.sleep(30);
		handler.close();
		Assert.assertEquals(written.toString(StandardCharsets.UTF_8), "{\"event\":\"last\"}\n");
	}

	/**
	 * Blocks every write until it is released.
	 */
	private static final class BlockedOutput extends OutputStream {

		/** Counted down by the first write. */
		private final CountDownLatch entered = new CountDownLatch(1);

		private final CountDownLatch released = new CountDownLatch(1);

		/** The text of each write. */
		private final BlockingQueue<String> written = new LinkedBlockingQueue<>();

		@Override
		public void write(int single) throws IOException {
			write(new byte[] { (byte) single }, 0, 1);
		}

		@Override
		public void write(byte[] bytes, int offset, int length) throws IOException {
			this.entered.countDown();
			try {
				this.released.await();
			}
			catch (InterruptedException ex) {
				throw new IOException(ex);
			}
			this.written.add(new String(bytes, offset, length, StandardCharsets.UTF_8));
		}

	}

}
