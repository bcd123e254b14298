package org.eelgrasspitch.misc;

/**
 * Says what to do about an error, where the message itself does not.
 */
public final class Hints {

	private Hints() {
	}

	/**
	 * Returns advice to whoever writes the text.
	 * @param type what is wrong
	 * @return one sentence; empty when the message says it all
	 */
	public static String of(ErrorType type) {
		return switch (type) {
			case SYNTAX -> "look at the line before as well: a comma, quote or bracket may be missing there";
			case TRUNCATED -> "publish the whole file; compare its length with the one on your side";
			case TOO_LARGE -> "the platform holds values up to this size: split the mesh or shorten names";
			case DUPLICATE_KEY, DUPLICATE_NAME, DUPLICATE_VM -> "keep one of the two";
			case UNKNOWN_KEY -> "check the spelling; comments are allowed, further keys are not";
			case DANGLING_DEPENDENCY -> "define the service, or remove it from dependsOn in the same text";
			case DEPENDENCY_CYCLE -> "remove one of these dependencies";
			case CHAIN_TOO_LONG -> "let a service nearer to the front depend on the last one directly";
			case LATE_AFTER_DEADLINE -> "leave lateAfterMillis out when callers need no word before the deadline";
			case BAD_BASE -> "copy the digest that check or status prints, or leave base out";
			default -> "";
		};
	}

}
