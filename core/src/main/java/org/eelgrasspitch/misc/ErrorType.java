package org.eelgrasspitch.misc;

/**
 * Errors that can be reported about an input. Each constant has a stable numeric code, a
 * {@link Severity} and a message template whose {@code %s} placeholders are filled in by
 * {@link Problem#message()}.
 * <p>
 * The first digit of a code is the kind of input: 1xx JSON syntax and structure, 2xx the
 * operators' text, 3xx settings, 4xx the VM list, 5xx frames between nodes, 6xx HTTP
 * requests of callers. The code of a removed error is not reused.
 */
public enum ErrorType {

	/** The document is not well-formed JSON. */
	SYNTAX(101, Severity.ERROR, "not well-formed JSON: %s"),

	/** The document is empty or incomplete. */
	TRUNCATED(102, Severity.ERROR, "the document is empty or ends too early"),

	/** The document exceeds its size limit. */
	TOO_LARGE(103, Severity.ERROR, "the document has %s bytes; the limit is %s"),

	/** An object has two members with the same name. */
	DUPLICATE_KEY(104, Severity.ERROR, "key \"%s\" appears twice in one object"),

	/** The nesting depth exceeds the limit. */
	TOO_DEEP(105, Severity.ERROR, "nesting is deeper than %s levels"),

	/** An object has a member that is not defined for it. */
	UNKNOWN_KEY(106, Severity.ERROR, "unknown key \"%s\"; allowed here: %s"),

	/** A required member is missing. */
	MISSING_KEY(107, Severity.ERROR, "key \"%s\" is required"),

	/** A value has the wrong JSON type. */
	WRONG_TYPE(108, Severity.ERROR, "\"%s\" must be %s"),

	/** A number is out of range. */
	OUT_OF_RANGE(109, Severity.ERROR, "\"%s\" is %s; allowed: %s to %s"),

	/** A name does not match the allowed pattern. */
	BAD_NAME(110, Severity.ERROR, "\"%s\" is not a name: use a lower-case letter, then letters, digits or hyphens"),

	/** A value is not one of the allowed values. */
	VALUE_NOT_ALLOWED(111, Severity.ERROR, "\"%s\" is not allowed for \"%s\"; use one of: %s"),

	/** The length of a list is out of range. */
	BAD_COUNT(112, Severity.ERROR, "\"%s\" has %s entries; allowed: %s to %s"),

	/** A service depends on a service that the text does not define. */
	DANGLING_DEPENDENCY(201, Severity.ERROR, "service \"%s\" depends on \"%s\", which this text does not define"),

	/** The dependencies of the services form a cycle. */
	DEPENDENCY_CYCLE(202, Severity.ERROR, "dependency cycle: %s"),

	/** The longest dependency chain that starts at a service exceeds the limit. */
	CHAIN_TOO_LONG(203, Severity.ERROR, "dependency chain of %s services: %s; the limit is %s"),

	/** Two entries have the same name. */
	DUPLICATE_NAME(204, Severity.ERROR, "%s \"%s\" is defined twice"),

	/** The late-after time of an operation is not less than its deadline. */
	LATE_AFTER_DEADLINE(205, Severity.ERROR, "lateAfterMillis (%s) must be below deadlineMillis (%s)"),

	/**
	 * A reference names a failure domain that the text does not define. Reserved; not
	 * reported at present.
	 */
	DANGLING_FAILURE_DOMAIN(206, Severity.ERROR, "failure domain \"%s\" is not defined in this text"),

	/** The base version is not a valid digest. */
	BAD_BASE(207, Severity.ERROR, "\"%s\" is not a version digest of 32 hexadecimal digits"),

	/**
	 * A value of the settings, the VM list or a platform document is not an IPv4 socket
	 * address.
	 */
	BAD_ADDRESS(301, Severity.ERROR, "\"%s\" is not an address of the form IP:port"),

	/** A setting is not an HTTP URL. */
	BAD_URL(302, Severity.ERROR, "\"%s\" is not an http URL"),

	/** A file cannot be read. */
	UNREADABLE(303, Severity.ERROR, "cannot read \"%s\": %s"),

	/** Two VMs have the same name. */
	DUPLICATE_VM(401, Severity.ERROR, "VM \"%s\" is listed twice"),

	/** A frame exceeds the size limit. */
	FRAME_TOO_LARGE(501, Severity.ERROR, "frame exceeds the limit: %s"),

	/** A frame cannot be decoded. */
	FRAME_MALFORMED(502, Severity.ERROR, "frame does not decode: %s"),

	/** The same revision was received with two different contents. */
	REVISION_CONFLICT(505, Severity.ERROR, "revision %s was seen with digest %s and with digest %s"),

	/** No operation matches the requested path. */
	NO_ROUTE(601, Severity.ERROR, "no operation \"%s\" in configuration version %s"),

	/** A request header is malformed. */
	BAD_HEADER(602, Severity.ERROR, "header \"%s\" has a malformed value \"%s\""),

	/** A request body exceeds the size limit. Reserved; not reported at present. */
	BODY_TOO_LARGE(603, Severity.ERROR, "request body exceeds %s bytes"),

	/** A request for an at-most-once operation has no ticket. */
	TICKET_REQUIRED(604, Severity.ERROR, "operation \"%s\" is at-most-once: send a ticket from POST /tickets"),

	/** A ticket cannot be decoded. */
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
	 * Returns the numeric code, which is stable across releases.
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
	 * @return a {@link String#format} template whose only placeholders are {@code %s}
	 */
	public String template() {
		return this.template;
	}

}
