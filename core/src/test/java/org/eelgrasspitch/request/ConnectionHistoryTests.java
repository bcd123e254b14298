package org.eelgrasspitch.request;

import java.util.stream.IntStream;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of {@link ConnectionHistory}.
 */
public class ConnectionHistoryTests {

	@Test
	public void carriesEachIdentifierOnce() {
		ConnectionHistory history = new ConnectionHistory();
		Assert.assertTrue(history.mayCarry("a"));
		history.add("a");
		history.add("b");
		Assert.assertFalse(history.mayCarry("a"));
		Assert.assertFalse(history.mayCarry("b"));
		Assert.assertTrue(history.mayCarry("c"));
	}

	@Test
	public void requestsWithoutIdentifierCannotBeToldApart() {
		ConnectionHistory history = new ConnectionHistory();
		history.add("");
		Assert.assertFalse(history.mayCarry(""));
	}

	@Test
	public void retiredConnectionCarriesNothing() {
		ConnectionHistory history = new ConnectionHistory();
		Assert.assertTrue(history.isEmpty());
		history.add("a");
		Assert.assertFalse(history.isEmpty());
		history.retire();
		Assert.assertTrue(history.isFull());
		Assert.assertFalse(history.mayCarry("b"));
	}

	@Test
	public void carriesAtMostTheMaximumNumberOfRequests() {
		ConnectionHistory history = new ConnectionHistory();
		IntStream.range(0, ConnectionHistory.MAX_REQUESTS - 1).forEach((i) -> history.add("id" + i));
		Assert.assertFalse(history.isFull());
		Assert.assertTrue(history.mayCarry("last"));
		history.add("last");
		Assert.assertTrue(history.isFull());
		Assert.assertFalse(history.mayCarry("another"));
	}

}
