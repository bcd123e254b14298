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

	private final Consumer<ProxySettings> changed;

	private final Consumer<List<Problem>> refused;

	/** Settings that were passed on last. */
	private ProxySettings current;

	/** When the file was written that was read last; the first check reads it again. */
	private FileTime lastReadModifiedAt = FileTime.fromMillis(0);

	/**
	 * Creates a watch.
	 * @param file the settings file
	 * @param current what it said when it was read first
	 * @param changed receives settings after each signal and each change
	 * @param refused receives the problems of a file that cannot be used
	 */
	public SettingsWatcher(Path file, ProxySettings current, Consumer<ProxySettings> changed,
			Consumer<List<Problem>> refused) {
		this.file = file;
		this.current = current;
		this.changed = changed;
		this.refused = refused;
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

	private void read(boolean always) {
		Either<List<Problem>, ProxySettings> settings = ProxySettingsParser.read(this.file);
		if (settings.isLeft()) {
			this.refused.accept(settings.getLeft());
			return;
		}
		if (always || !settings.get().equals(this.current)) {
			this.current = settings.get();
			this.changed.accept(this.current);
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
