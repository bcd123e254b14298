package org.eelgrasspitch.misc;

/**
 * Every error the system can report about an input, in one list. Each constant carries a
 * stable numeric code, a {@link Severity} and a message template whose {@code %s}
 * placeholders are filled by {@link Problem#message()}.
 * <p>
 * Codes are grouped by the hundred: 1xx syntax, 2xx the operators' text, 3xx settings,
 * 4xx the VM list, 5xx frames between nodes, 6xx callers' HTTP requests. A code is never
 * reused.
 */
public enum ErrorType {

	/** The document is not well-formed JSON. */
	SYNTAX(101, Severity.ERROR, "not well-formed JSON: %s"),

	/** The document ends before it is complete, or is empty. */
	TRUNCATED(102, Severity.ERROR, "the document is empty or ends too early"),

	/** The document is longer than its limit. */
	TOO_LARGE(103, Severity.ERROR, "the document has %s bytes; the limit is %s"),

	/** Two members of one object share a name. */
	DUPLICATE_KEY(104, Severity.ERROR, "key \"%s\" appears twice in one object"),

	/** Nesting is deeper than the limit. */
	TOO_DEEP(105, Severity.ERROR, "nesting is deeper than %s levels"),

	/** A member is not known. */
	UNKNOWN_KEY(106, Severity.ERROR, "unknown key \"%s\"; allowed here: %s"),

	/** A required member is absent. */
	MISSING_KEY(107, Severity.ERROR, "key \"%s\" is required"),

	/** A value has the wrong JSON type. */
	WRONG_TYPE(108, Severity.ERROR, "\"%s\" must be %s"),

	/** A number is out of range. */
	OUT_OF_RANGE(109, Severity.ERROR, "\"%s\" is %s; allowed: %s to %s"),

	/** A name does not match the allowed pattern. */
	BAD_NAME(110, Severity.ERROR, "\"%s\" is not a name: use a lower-case letter, then letters, digits or hyphens"),

	/** A value is not one of the allowed words. */
	UNKNOWN_WORD(111, Severity.ERROR, "\"%s\" is not allowed for \"%s\"; use one of: %s"),

	/** A list is longer or shorter than allowed. */
	BAD_COUNT(112, Severity.ERROR, "\"%s\" has %s entries; allowed: %s to %s"),

	/** A service depends on a service that the text does not define. */
	DANGLING_DEPENDENCY(201, Severity.ERROR, "service \"%s\" depends on \"%s\", which this text does not define"),

	/** Services depend on each other in a circle. */
	DEPENDENCY_CYCLE(202, Severity.ERROR, "dependency cycle: %s"),

	/** The longest dependency chain is longer than the limit. */
	CHAIN_TOO_LONG(203, Severity.ERROR, "dependency chain of %s services: %s; the limit is %s"),

	/** Two entries have the same name. */
	DUPLICATE_NAME(204, Severity.ERROR, "%s \"%s\" is defined twice"),

	/** A late-after time is not below its deadline. */
	LATE_AFTER_DEADLINE(205, Severity.ERROR, "lateAfterMillis (%s) must be below deadlineMillis (%s)"),

	/** A key home names a failure domain or VM in a wrong form. */
	DANGLING_FAILURE_DOMAIN(206, Severity.ERROR, "failure domain \"%s\" is not defined in this text"),

	/** The base digest is not a digest. */
	BAD_BASE(207, Severity.ERROR, "\"%s\" is not a version digest of 32 hexadecimal digits"),

	/** A setting is not an address. */
	BAD_ADDRESS(301, Severity.ERROR, "\"%s\" is not an address of the form IP:port"),

	/** A setting is not an HTTP URL. */
	BAD_URL(302, Severity.ERROR, "\"%s\" is not an http URL"),

	/** A file could not be read. */
	UNREADABLE(303, Severity.ERROR, "cannot read \"%s\": %s"),

	/** Two VMs share one name. */
	DUPLICATE_VM(401, Severity.ERROR, "VM \"%s\" is listed twice"),

	/** A frame is longer than the limit. */
	FRAME_TOO_LARGE(501, Severity.ERROR, "frame exceeds the limit: %s"),

	/** A frame does not decode. */
	FRAME_MALFORMED(502, Severity.ERROR, "frame does not decode: %s"),

	/** One revision arrived with two different contents. */
	REVISION_CONFLICT(505, Severity.ERROR, "revision %s was seen with digest %s and with digest %s"),

	/** No route for the requested path. */
	NO_ROUTE(601, Severity.ERROR, "no operation \"%s\" in configuration version %s"),

	/** A request header is malformed. */
	BAD_HEADER(602, Severity.ERROR, "header \"%s\" has a malformed value \"%s\""),

	/** A request body is longer than the limit. */
	BODY_TOO_LARGE(603, Severity.ERROR, "request body exceeds %s bytes"),

	/** An at-most-once request carries neither a ticket nor a usable key. */
	TICKET_REQUIRED(604, Severity.ERROR, "operation \"%s\" is at-most-once: send a ticket from POST /tickets"),

	/** A ticket does not decode. */
	BAD_TICKET(605, Severity.ERROR, "ticket does not decode: %s");

	private final int code;

	private final Severity severity;

	private final String template;

	ErrorType(int code, Severity severity, String template) {
		this.code = code;
		this.severity = severity;
		this.template = template;
	}

	/**
	 * Returns the stable numeric code.
	 * @return a three-digit number
	 */
	public int code() {
		return this.code;
	}

	/**
	 * Returns the severity.
	 * @return the severity of every problem of this type
	 */
	public Severity severity() {
		return this.severity;
	}

	/**
	 * Returns the message template.
	 * @return a {@link String#format} template with {@code %s} placeholders only
	 */
	public String template() {
		return this.template;
	}

}
