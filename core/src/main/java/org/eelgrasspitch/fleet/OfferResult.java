package org.eelgrasspitch.fleet;

import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.text.ParsedDocument;

/**
 * Result of offering a version to a {@link VersionStore}.
 *
 * @param <T> type of the parsed value
 */
public sealed interface OfferResult<T> {

	/**
	 * The version was accepted and is now held.
	 *
	 * @param <T> type of the parsed value
	 * @param parsed the document and its value
	 */
	record Accepted<T>(ParsedDocument<T> parsed) implements OfferResult<T> {

	}

	/**
	 * The version is not newer than the one held, or older than the highest known
	 * revision; nothing changed.
	 *
	 * @param <T> type of the parsed value
	 * @param older true when the version is older; false when it is the one held
	 */
	record NotNewer<T>(boolean older) implements OfferResult<T> {

	}

	/**
	 * The version has errors; the version held is unchanged and the rejection is
	 * recorded.
	 *
	 * @param <T> type of the parsed value
	 * @param rejection revision and problems
	 */
	record Rejected<T>(Rejection rejection) implements OfferResult<T> {

	}

	/**
	 * The revision is the one held but the content differs; nothing changed.
	 *
	 * @param <T> type of the parsed value
	 * @param problem the conflict, with both digests
	 */
	record Conflicting<T>(Problem problem) implements OfferResult<T> {

	}

}
