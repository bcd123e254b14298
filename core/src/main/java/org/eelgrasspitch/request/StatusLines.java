package org.eelgrasspitch.request;

import java.util.regex.Pattern;

/**
 * Recognises the beginning of an HTTP/1 response inside the head of another one.
 * <p>
 * A target that breaks off in the head of a response and then writes the next one leaves
 * bytes that can be read as one head: the status of the first, the other headers of the
 * second. The status line of the second is then part of the reason phrase or of a header
 * of the first, where no target writes one.
 * <p>
 * Example: {@code HTTP/1.1 200 O}, followed by {@code HTTP/1.1 500 Error}, is read as
 * status 200 with the reason phrase {@code OHTTP/1.1 500 Error}.
 */
public final class StatusLines {

	/** How each status line begins; looked for first, as the pattern costs more. */
	private static final String BEGINNING = "HTTP/";

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9]\\.[0-9] [0-9]{3}");

	private StatusLines() {
	}

	/**
	 * Returns whether a text holds a status line.
	 * @param text reason phrase of a response, or name or value of a header
	 * @return true if the response must not be trusted
	 */
	public static boolean isIn(String text) {
		return text.contains(BEGINNING) && STATUS_LINE.matcher(text).find();
	}

}
