package org.eelgrasspitch.testkit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Reads the processor and memory usage of a process from {@code /proc} and from
 * {@code jcmd}.
 */
final class ProcessUsage {

	private static final int MILLIS_PER_CLOCK_TICK = 10;

	private static final int USER_TICKS_FIELD = 11;

	private static final int SYSTEM_TICKS_FIELD = 12;

	private static final long BYTES_PER_KIB = 1024;

	private static final long JCMD_TIMEOUT_MILLIS = 10_000;

	private ProcessUsage() {
	}

	/**
	 * Returns the processor time used so far, user and system.
	 * @param pid process identifier
	 * @return time in milliseconds, with a resolution of 10 ms
	 */
	static long cpuMillis(long pid) {
		String stat = read(pid, "stat");
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		return (Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]))
				* MILLIS_PER_CLOCK_TICK;
	}

	/**
	 * Returns the resident set size.
	 * @param pid process identifier
	 * @return size in bytes; 0 when the process reports none
	 */
	static long residentBytes(long pid) {
		return read(pid, "status").lines()
			.filter((line) -> line.startsWith("VmRSS:"))
			.mapToLong((line) -> Long.parseLong(line.replaceAll("\\D", "")) * BYTES_PER_KIB)
			.findFirst()
			.orElse(0);
	}

	/**
	 * Runs a garbage collection in a Java process and returns the heap usage after it.
	 * Only the generations of the serial collector are recognized.
	 * @param pid process identifier
	 * @return size in bytes; 0 when the output has no known generation
	 */
	static long liveHeapBytes(long pid) {
		jcmd(pid, "GC.run");
		long total = 0;
		for (String line : jcmd(pid, "GC.heap_info").lines().toList()) {
			if (line.contains("def new") || line.contains("DefNew") || line.contains("tenured")
					|| line.contains("Tenured")) {
				total += Long.parseLong(line.replaceAll(".*used (\\d+)K.*", "$1")) * BYTES_PER_KIB;
			}
		}
		return total;
	}

	private static String jcmd(long pid, String command) {
		Path tool = Path.of(System.getProperty("java.home"), "bin", "jcmd");
		try {
			Process process = new ProcessBuilder(tool.toString(), Long.toString(pid), command).redirectErrorStream(true)
				.start();
			String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			process.waitFor(JCMD_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			return output;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return "";
		}
	}

	private static String read(long pid, String file) {
		try {
			return Files.readString(Path.of("/proc", Long.toString(pid), file));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
