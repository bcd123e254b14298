package org.eelgrasspitch.request;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests which texts hold the beginning of another response.
 */
public class StatusLinesTests {

	@DataProvider
	Object[][] texts() {
		return new Object[][] { { "OHTTP/1.1 500 Error", true }, { "HTTP/1.0 200 ", true }, { "HTTP/1.1 204", true },
				{ "OK", false }, { "", false }, { "HTTP/1.1 gateway", false }, { "HTTP/2", false },
				{ "HTTP/1.1 40", false } };
	}

	@Test(dataProvider = "texts")
	public void onlyAStatusLineIsRecognised(String text, boolean expected) {
		Assert.assertEquals(StatusLines.isIn(text), expected);
	}

}
