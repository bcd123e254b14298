package org.eelgrasspitch.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;

import org.eelgrasspitch.misc.Problem;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that the watcher passes on changed settings once, passes them on at every reload,
 * and reports invalid or missing files once.
 */
public class SettingsWatcherTests {

	private final List<ProxySettings> receivedSettings = new ArrayList<>();

	private final List<Problem> problems = new ArrayList<>();

	private Path file;

	private SettingsWatcher watcher;

	@BeforeMethod
	public void start() throws IOException {
		this.receivedSettings.clear();
		this.problems.clear();
		this.file = Files.createTempFile("settings", ".json");
		Files.writeString(this.file, ProxySettingsParserTests.VALID_SETTINGS);
		this.watcher = new SettingsWatcher(this.file, ProxySettingsParser.read(this.file).get(),
				this.receivedSettings::add, this.problems::addAll);
	}

	@AfterMethod
	public void remove() throws IOException {
		Files.deleteIfExists(this.file);
	}

	@Test
	public void fileChangeIsPassedOnOnce() throws IOException {
		this.watcher.check();
		Assert.assertEquals(this.receivedSettings.size(), 0, "the file has not changed");
		write(ProxySettingsParserTests.VALID_SETTINGS.replace("\"retryMinimum\": 56", "\"retryMinimum\": 9"), 1);
		this.watcher.check();
		this.watcher.check();
		Assert.assertEquals(this.receivedSettings.size(), 1);
		Assert.assertEquals(this.receivedSettings.getFirst().retryMinimum(), 9.0);
	}

	@Test
	public void reloadAlwaysPassesSettingsOn() {
		this.watcher.reload();
		Assert.assertEquals(this.receivedSettings.size(), 1);
	}

	@Test
	public void invalidFileChangesNothingAndIsReportedOnce() throws IOException {
		write("{", 1);
		this.watcher.check();
		this.watcher.check();
		Assert.assertEquals(this.receivedSettings.size(), 0);
		Assert.assertEquals(this.problems.size(), 1, this.problems.toString());
		write(ProxySettingsParserTests.VALID_SETTINGS, 2);
		this.watcher.check();
		Assert.assertEquals(this.receivedSettings.size(), 0, "the content equals the initial settings");
	}

	@Test
	public void missingFileIsReportedAndReadWhenItReturns() throws IOException {
		this.watcher.check();
		Files.delete(this.file);
		this.watcher.check();
		Assert.assertEquals(this.problems.size(), 1);
		write(ProxySettingsParserTests.VALID_SETTINGS.replace("\"stopSeconds\": 6.5", "\"stopSeconds\": 8"), 3);
		this.watcher.check();
		Assert.assertEquals(this.receivedSettings.size(), 1);
	}

	private void write(String content, int seconds) throws IOException {
		Files.writeString(this.file, content);
		// Two writes within the resolution of file times would give the same time.
		Files.setLastModifiedTime(this.file, FileTime.fromMillis(System.currentTimeMillis() + 1_000L * seconds));
	}

}
