import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: one line for each thing that was sent, answered, run or done. */
final class Recorder implements AutoCloseable {

	private final PrintWriter out;

	private final long startNanos = System.nanoTime();

	Recorder(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	/** Seconds since the start. */
	double now() {
		return (System.nanoTime() - this.startNanos) / 1e9;
	}

	synchronized void line(String format, Object... arguments) {
		this.out.printf("%8.3f  %s%n", now(), String.format(format, arguments));
		this.out.flush();
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
