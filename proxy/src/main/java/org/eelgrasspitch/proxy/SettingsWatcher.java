package org.eelgrasspitch.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.eelgrasspitch.misc.Problem;

/**
 * Reads the settings file again when it was changed or a signal says so, and passes on
 * what it says if that differs from before. A file that cannot be used changes nothing.
 */
public final class SettingsWatcher {

	private final Path file;

	private final Consumer<ProxySettings> changeListener;

	private final Consumer<List<Problem>> problemListener;

	/** Settings that were passed on last. */
	private ProxySettings current;

	/** When the file was written that was read last; the first check reads it again. */
	private FileTime lastReadModifiedAt = FileTime.fromMillis(0);

	/**
	 * Creates a watch.
	 * @param file the settings file
	 * @param current what it said when it was read first
	 * @param changeListener receives settings after each signal and each change
	 * @param problemListener receives the problems of a file that cannot be used
	 */
	public SettingsWatcher(Path file, ProxySettings current, Consumer<ProxySettings> changeListener,
			Consumer<List<Problem>> problemListener) {
		this.file = file;
		this.current = current;
		this.changeListener = changeListener;
		this.problemListener = problemListener;
	}

	/**
	 * Reads the file whether it was changed or not.
	 */
	public synchronized void reload() {
		this.lastReadModifiedAt = modifiedAt();
		read(true);
	}

	/**
	 * Reads the file if it was written since it was read.
	 */
	public synchronized void check() {
		FileTime modifiedAt = modifiedAt();
		if (modifiedAt.equals(this.lastReadModifiedAt)) {
			return;
		}
		this.lastReadModifiedAt = modifiedAt;
		read(false);
	}

	private void read(boolean forced) {
		Either<List<Problem>, ProxySettings> settings = ProxySettingsParser.read(this.file);
		if (settings.isLeft()) {
			this.problemListener.accept(settings.getLeft());
			return;
		}
		if (forced || !settings.get().equals(this.current)) {
			this.current = settings.get();
			this.changeListener.accept(this.current);
		}
	}

	private FileTime modifiedAt() {
		try {
			return Files.getLastModifiedTime(this.file);
		}
		catch (IOException ex) {
			// A file that is being replaced is there again at the next check.
			return FileTime.fromMillis(0);
		}
	}

}
