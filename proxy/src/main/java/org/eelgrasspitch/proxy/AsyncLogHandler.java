package org.eelgrasspitch.proxy;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes log lines on a thread of its own. Whoever logs never waits: when the buffer is
 * full, because nobody reads the output, lines are dropped and counted, and the count is
 * written before the next line that gets through.
 */
public final class AsyncLogHandler extends Handler {

	/** Lines that wait to be written: several seconds at the permitted rates. */
	private static final int QUEUE_CAPACITY = 2_048;

	/** Lines are written together this often, in milliseconds, to save system calls. */
	private static final long BATCH_MILLIS = 100;

	/** The handler of this process; null when logs go elsewhere. */
	private static volatile AsyncLogHandler installed;

	private final BlockingQueue<String> queuedLines;

	private final AtomicLong dropped = new AtomicLong();

	private final PrintStream output;

	/**
	 * Creates a handler and starts its thread.
	 * @param output where lines go
	 * @param capacity lines that may wait
	 */
	AsyncLogHandler(PrintStream output, int capacity) {
		this.output = output;
		this.queuedLines = new ArrayBlockingQueue<>(capacity);
		Thread thread = new Thread(this::write, "log");
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * Returns the lines dropped by the installed handler and not yet reported.
	 * @return the number; 0 when none is installed
	 */
	static long droppedLines() {
		AsyncLogHandler handler = installed;
		return (handler != null) ? handler.dropped() : 0;
	}

	/**
	 * Makes standard output the destination of all logging.
	 */
	public static void install() {
		Logger root = Logger.getLogger("");
		for (Handler handler : root.getHandlers()) {
			root.removeHandler(handler);
		}
		installed = new AsyncLogHandler(System.out, QUEUE_CAPACITY);
		root.addHandler(installed);
	}

	@Override
	public void publish(LogRecord entry) {
		String message = String.valueOf(entry.getMessage());
		String line = message.startsWith("{") ? message : toJson(entry, message);
		if (!this.queuedLines.offer(line)) {
			this.dropped.incrementAndGet();
		}
	}

	/**
	 * Returns the lines dropped so far and not yet reported.
	 * @return the number
	 */
	long dropped() {
		return this.dropped.get();
	}

	@Override
	public void flush() {
		List<String> batch = new ArrayList<>();
		this.queuedLines.drainTo(batch);
		print(batch);
	}

	@Override
	public void close() {
		flush();
	}

	private static String toJson(LogRecord entry, String message) {
		String cause = (entry.getThrown() != null) ? " " + entry.getThrown() : "";
		String text = (message + cause).replace('\\', '/').replace('"', '\'').replaceAll("\\p{Cntrl}", " ");
		return "{\"ts\":" + entry.getMillis() + ",\"event\":\"library\",\"logger\":\"" + entry.getLoggerName()
				+ "\",\"message\":\"" + text + "\"}";
	}

	private void write() {
		try {
			while (true) {
				List<String> batch = new ArrayList<>();
				batch.add(this.queuedLines.take());
				TimeUnit.MILLISECONDS.sleep(BATCH_MILLIS);
				this.queuedLines.drainTo(batch);
				print(batch);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void print(List<String> batch) {
		if (batch.isEmpty()) {
			return;
		}
		StringBuilder text = new StringBuilder();
		long droppedLines = this.dropped.getAndSet(0);
		if (droppedLines > 0) {
			text.append("{\"event\":\"log_dropped\",\"lines\":").append(droppedLines).append("}\n");
		}
		batch.forEach((line) -> text.append(line).append('\n'));
		byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
		this.output.write(bytes, 0, bytes.length);
		this.output.flush();
	}

}
