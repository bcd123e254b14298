package org.eelgrasspitch.misc;

/**
 * Corrective advice for errors whose message does not suggest a fix.
 */
public final class Hints {

	private Hints() {
	}

	/**
	 * Returns advice for the author of the document.
	 * @param type the error type
	 * @return one sentence, or the empty string if there is no advice for this type
	 */
	public static String of(ErrorType type) {
		return switch (type) {
			case SYNTAX -> "check the preceding line as well: a comma, quote or bracket may be missing there";
			case TRUNCATED -> "publish the complete file; compare its length with that of the local file";
			case TOO_LARGE -> "the platform stores values up to this size: split the mesh or shorten names";
			case DUPLICATE_KEY, DUPLICATE_NAME, DUPLICATE_VM -> "remove one of the two";
			case UNKNOWN_KEY -> "check the spelling; comments are allowed, additional keys are not";
			case DANGLING_DEPENDENCY -> "define the service, or remove it from dependsOn in the same text";
			case DEPENDENCY_CYCLE -> "remove one of these dependencies";
			case CHAIN_TOO_LONG -> "shorten the chain: let a service depend directly on a later one of the chain "
					+ "instead of on the next one";
			case LATE_AFTER_DEADLINE -> "omit lateAfterMillis if callers need no notice before the deadline";
			case BAD_BASE -> "copy the digest that check or status prints, or omit base";
			default -> "";
		};
	}

}
