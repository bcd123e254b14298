package org.eelgrasspitch.testkit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A child process that runs this program's command line. Only tests and measurements
 * start processes; the system itself never does.
 */
public final class JavaProcess implements AutoCloseable {

	/** Main class of the command line. */
	public static final String MAIN_CLASS = "org.eelgrasspitch.cli.Main";

	private static final String CLI_JAR = "eelgrasspitch-cli-0.1.0.jar";

	private static final long EXIT_TIMEOUT_MILLIS = 5_000;

	private final String name;

	private final Process process;

	private JavaProcess(String name, Process process) {
		this.name = name;
		this.process = process;
	}

	/**
	 * Starts a process. Its files are found below the directory in the system property
	 * {@code eelgrasspitch.home}, or else below the working directory.
	 * @param name name of the process for {@link #toString()}
	 * @param log file that its output and errors are appended to
	 * @param arguments arguments of the command line
	 * @return the running process
	 * @throws UncheckedIOException if it cannot be started
	 */
	public static JavaProcess start(String name, Path log, List<String> arguments) {
		List<String> command = new ArrayList<>();
		command.add(ProcessHandle.current().info().command().orElse("java"));
		Path home = Path.of(System.getProperty("eelgrasspitch.home", "."));
		command.add("@" + home.resolve("config/node.jvmoptions"));
		command.add("-Deelgrasspitch.home=" + home);
		Path target = home.resolve("cli/target");
		Path archive = target.resolve("eelgrasspitch.jsa");
		if (Files.isRegularFile(archive)) {
			command.add("-XX:SharedArchiveFile=" + archive);
		}
		command.addAll(List.of("-cp", target.resolve(CLI_JAR) + ":" + target.resolve("lib") + "/*", MAIN_CLASS));
		command.addAll(arguments);
		return start(name, log, command, Map.of());
	}

	/**
	 * Starts a process with a command of its own.
	 * @param name name of the process for {@link #toString()}
	 * @param log file that its output and errors are appended to
	 * @param command the program and its arguments
	 * @param environment environment variables that are added
	 * @return the running process
	 * @throws UncheckedIOException if it cannot be started
	 */
	public static JavaProcess start(String name, Path log, List<String> command, Map<String, String> environment) {
		try {
			ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
			builder.environment().putAll(environment);
			return new JavaProcess(name, builder.start());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns the process identifier.
	 * @return the process identifier
	 */
	public long pid() {
		return this.process.pid();
	}

	/**
	 * Returns whether the process is running.
	 * @return true until it has ended
	 */
	public boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Kills the process forcibly and waits up to 5 s for its end.
	 */
	public void kill() {
		this.process.destroyForcibly();
		await(EXIT_TIMEOUT_MILLIS);
	}

	/**
	 * Requests normal termination, without waiting for it.
	 */
	public void terminate() {
		this.process.destroy();
	}

	/**
	 * Waits for the end of the process.
	 * @param millis timeout, in milliseconds
	 * @return true when it has ended, false on a timeout or an interrupt
	 */
	public boolean await(long millis) {
		try {
			return this.process.waitFor(millis, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * Suspends the process with SIGSTOP.
	 */
	public void pause() {
		signal("-STOP");
	}

	/**
	 * Resumes a suspended process with SIGCONT.
	 */
	public void resume() {
		signal("-CONT");
	}

	@Override
	public void close() {
		if (isAlive()) {
			signal("-CONT");
			kill();
		}
	}

	@Override
	public String toString() {
		return this.name + "[" + pid() + "]";
	}

	private void signal(String signal) {
		try {
			new ProcessBuilder("kill", signal, Long.toString(pid())).start().waitFor();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
