package org.eelgrasspitch.testkit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A child process of this program's own command line. Only tests and experiments start
 * processes; the system itself never does.
 */
public final class JavaProcess implements AutoCloseable {

	/** The command line's main class. */
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
	 * Starts a process.
	 * @param name its name in messages
	 * @param log file for its output
	 * @param arguments arguments of the command line
	 * @return the running process
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
		try {
			ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
			return new JavaProcess(name, builder.start());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns the process's identifier.
	 * @return the identifier that the operating system gave it
	 */
	public long pid() {
		return this.process.pid();
	}

	/**
	 * Tells whether the process runs.
	 * @return true until it ended
	 */
	public boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Kills the process without warning and waits until it is gone.
	 */
	public void kill() {
		this.process.destroyForcibly();
		await(EXIT_TIMEOUT_MILLIS);
	}

	/**
	 * Asks the process to end.
	 */
	public void terminate() {
		this.process.destroy();
	}

	/**
	 * Waits for the end of the process.
	 * @param millis longest wait, in milliseconds
	 * @return true when it has ended
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
	 * Stops the process where it is.
	 */
	public void pause() {
		signal("-STOP");
	}

	/**
	 * Lets a paused process go on.
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
