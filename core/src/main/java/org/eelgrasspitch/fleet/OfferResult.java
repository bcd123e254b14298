package org.eelgrasspitch.fleet;

import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.text.ParsedDocument;

/**
 * What a {@link VersionStore} decided about an offered version.
 *
 * @param <T> type of the parsed value
 */
public sealed interface OfferResult<T> {

	/**
	 * The version is now held.
	 *
	 * @param <T> type of the parsed value
	 * @param checked the document and its value
	 */
	record Accepted<T>(ParsedDocument<T> checked) implements OfferResult<T> {

	}

	/**
	 * The version is older than what is held or known, or the same; nothing changed.
	 *
	 * @param <T> type of the parsed value
	 * @param older true when it is strictly older
	 */
	record NotNewer<T>(boolean older) implements OfferResult<T> {

	}

	/**
	 * The version has errors; nothing changed except the record of the rejection.
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
	 * @param problem names both digests
	 */
	record Conflicting<T>(Problem problem) implements OfferResult<T> {

	}

}
