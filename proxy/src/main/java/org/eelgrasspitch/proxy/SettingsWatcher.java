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
 * Reloads the settings file after it was modified or when a reload is requested by a
 * signal. A modification is reported only if the settings differ from the previous ones.
 * An invalid file leaves the settings unchanged.
 */
public final class SettingsWatcher {

	private final Path file;

	private final Consumer<ProxySettings> changeListener;

	private final Consumer<List<Problem>> problemListener;

	/** Settings last passed to the listener. */
	private ProxySettings current;

	/** Modification time of the file last read; initially forces a read. */
	private FileTime lastReadModifiedAt = FileTime.fromMillis(0);

	/**
	 * Creates a watcher.
	 * @param file the settings file
	 * @param current settings in use
	 * @param changeListener receives the settings after each reload and each change
	 * @param problemListener receives the problems of a file that is invalid or cannot be
	 * read
	 */
	public SettingsWatcher(Path file, ProxySettings current, Consumer<ProxySettings> changeListener,
			Consumer<List<Problem>> problemListener) {
		this.file = file;
		this.current = current;
		this.changeListener = changeListener;
		this.problemListener = problemListener;
	}

	/**
	 * Reads the file and passes its settings on even if they are unchanged.
	 */
	public synchronized void reload() {
		this.lastReadModifiedAt = modifiedAt();
		read(true);
	}

	/**
	 * Reads the file if it was modified since the last read.
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
			// A missing file counts as modified at time 0: it is reported once and read
			// when it exists again.
			return FileTime.fromMillis(0);
		}
	}

}
