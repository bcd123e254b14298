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
 * Writes log lines on a separate thread, so that logging never blocks. If the queue is
 * full because the output is not read, lines are dropped, and their number is written
 * before the next batch.
 */
public final class AsyncLogHandler extends Handler {

	/** Maximum number of queued lines; several seconds at the permitted rates. */
	private static final int QUEUE_CAPACITY = 2_048;

	/** Time over which lines are collected into one write, to save system calls. */
	private static final long BATCH_MILLIS = 100;

	/** The handler of this process; null if none was installed. */
	private static volatile AsyncLogHandler installed;

	private final BlockingQueue<String> queuedLines;

	/** Lines taken from the queue and not written yet; guarded by this object's lock. */
	private final List<String> batch = new ArrayList<>();

	/** Lines dropped since the last report in the log. */
	private final AtomicLong dropped = new AtomicLong();

	private final PrintStream output;

	/**
	 * Creates a handler and starts its thread.
	 * @param output the stream that lines are written to
	 * @param capacity maximum number of queued lines
	 */
	AsyncLogHandler(PrintStream output, int capacity) {
		this.output = output;
		this.queuedLines = new ArrayBlockingQueue<>(capacity);
		Thread thread = new Thread(this::write, "log");
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * Returns the number of lines that the installed handler dropped since its last
	 * report.
	 * @return the number; 0 if no handler is installed
	 */
	static long droppedLines() {
		AsyncLogHandler handler = installed;
		return (handler != null) ? handler.dropped() : 0;
	}

	/**
	 * Replaces all handlers of the root logger with one that writes to standard output.
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
	 * Returns the number of lines dropped since the last report in the log.
	 * @return the number
	 */
	long dropped() {
		return this.dropped.get();
	}

	@Override
	public synchronized void flush() {
		this.queuedLines.drainTo(this.batch);
		print(this.batch);
		this.batch.clear();
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
				String first = this.queuedLines.take();
				synchronized (this) {
					this.batch.add(first);
				}
				TimeUnit.MILLISECONDS.sleep(BATCH_MILLIS);
				flush();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void print(List<String> lines) {
		if (lines.isEmpty()) {
			return;
		}
		StringBuilder text = new StringBuilder();
		long droppedLines = this.dropped.getAndSet(0);
		if (droppedLines > 0) {
			text.append("{\"event\":\"log_dropped\",\"lines\":").append(droppedLines).append("}\n");
		}
		lines.forEach((line) -> text.append(line).append('\n'));
		byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
		this.output.write(bytes, 0, bytes.length);
		this.output.flush();
	}

}
