package org.eelgrasspitch.proxy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
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
		CountDownLatch released = new CountDownLatch(1);
		ByteArrayOutputStream written = new ByteArrayOutputStream();
		AsyncLogHandler handler = new AsyncLogHandler(new PrintStream(new BlockedOutput(released, written), true),
				CAPACITY);
		for (int i = 0; i < LINES; i++) {
			handler.publish(new LogRecord(Level.INFO, "{\"event\":\"x\"}"));
		}
		Assert.assertTrue(handler.dropped() >= LINES - 3 * CAPACITY, "dropped: " + handler.dropped());
		released.countDown();
		TimeUnit.MILLISECONDS.sleep(500);
		handler.publish(new LogRecord(Level.INFO, "{\"event\":\"y\"}"));
		TimeUnit.MILLISECONDS.sleep(500);
		String text = written.toString(StandardCharsets.UTF_8);
		Assert.assertTrue(text.contains("\"event\":\"log_dropped\",\"lines\":"), "dropped lines are reported");
		Assert.assertTrue(text.contains("\"event\":\"y\""));
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

		private final CountDownLatch released;

		private final OutputStream output;

		BlockedOutput(CountDownLatch released, OutputStream output) {
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
