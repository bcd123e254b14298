package org.eelgrasspitch.proxy;

import org.eelgrasspitch.misc.EnumNames;

/**
 * The events of the decision log. docs/OPERATIONS.md describes each one.
 */
enum LogEvent {

	/** The node listens for callers. */
	NODE_STARTED(5),

	/** The node received the signal to stop. */
	NODE_STOPPING(5),

	/** The node stops; requests and calls in progress are counted. */
	NODE_STOPPED(5),

	/** A thread that handles requests or the configuration ended by itself. */
	EVENT_LOOP_ENDED(5),

	/** The settings were read again and applied. */
	SETTINGS_RELOADED(5),

	/** The settings were read again, are invalid and were not applied. */
	SETTINGS_REFUSED(5),

	/** The monotonic clock stood still while the wall clock advanced. */
	PAUSE_DETECTED(5),

	/** A configuration was read or received from a peer, and waits to be decoded. */
	CONFIG_RECEIVED(20),

	/** A configuration was applied. */
	CONFIG_APPLIED(20),

	/** An invalid or older configuration was rejected; the held one stays in force. */
	CONFIG_REFUSED(5),

	/** A configuration could not be decoded for want of memory and is decoded later. */
	CONFIG_DEFERRED(5),

	/** A target appeared or changed. */
	TARGET_SEEN(40),

	/** A target is draining. */
	TARGET_LEAVING(40),

	/**
	 * A target was dropped, because its entry was removed, became invalid or was not
	 * published again within its grace period.
	 */
	TARGET_GONE(40),

	/** A target's published entry is invalid; the target is treated as removed. */
	TARGET_IGNORED(10),

	/** The target of this VM cannot be reached. */
	TARGET_DOWN(10),

	/** The target of this VM accepts requests again. */
	TARGET_UP(10),

	/**
	 * The target of this VM names a limit on its requests, or another one than before.
	 */
	TARGET_LIMITED(5),

	/** The target of this VM does not name a limit any more. */
	TARGET_UNLIMITED(5),

	/** The target of this VM states in an answer that it is about to stop. */
	TARGET_STATED_LEAVING(5),

	/**
	 * The target of this VM sent an answer that belongs to no request in progress.
	 */
	TARGET_STRAY_ANSWER(10),

	/**
	 * The source of documents has not answered this node, or not with what it can use.
	 */
	SOURCE_READ_FAILED(5),

	/** The source of documents does not respond. */
	SOURCE_LOST(5),

	/** The source of documents responds again. */
	SOURCE_RETURNED(5),

	/**
	 * The source was restored from an older copy; its revisions belong to a later era.
	 */
	SOURCE_RESTORED(5),

	/** This node starts to read the source for its failure domain. */
	READING_STARTED(5),

	/** This node stops reading the source, because a peer reads it. */
	READING_STOPPED(5),

	/** A document received from a peer is malformed and was ignored. */
	PEER_DOCUMENT_REFUSED(5),

	/** A newer revision of a document was received from a peer and applied. */
	PEER_UPDATE(10),

	/** A link to a peer was opened. */
	LINK_OPENED(20),

	/** A link to a peer was lost. */
	LINK_LOST(20),

	/** A target is skipped for a time, because another one responded at its address. */
	TARGET_DISPLACED(10),

	/** A target crashed while it ran a request. */
	TARGET_DIED(40),

	/** A target answered a request that had been running at a crash. */
	SUSPECT_CLEARED(40),

	/** A connection of a caller ended because of an exception. */
	CALLER_CONNECTION_FAILED(10),

	/** A request was matched to a route and admitted. */
	REQUEST_ADMITTED,

	/** A target was chosen for a request. */
	REQUEST_PLACED,

	/** A request is retried at another target. */
	REQUEST_RETRIED,

	/** A slow request is sent to a second target as well. */
	REQUEST_HEDGED,

	/** A request was refused and has not run. */
	REQUEST_REFUSED,

	/** A request failed; it may have run. */
	REQUEST_FAILED,

	/** A caller got the complete response of a target. */
	REQUEST_DONE,

	/** A response waited for those of earlier pipelined requests. */
	REQUEST_HELD,

	/** A caller disconnected before the response was complete. */
	REQUEST_CANCELLED,

	/** This node ended the connection of a request without a complete answer. */
	REQUEST_UNANSWERED,

	/** A call is queued at the home until the target has a free slot. */
	CALL_QUEUED,

	/** The home refused a call of an entry node. */
	CALL_REFUSED,

	/** A call ended at the home without a valid, complete response of the target. */
	CALL_FAILED,

	/** The target responded to a call. */
	CALL_DONE,

	/** The entry node cancelled a call. */
	CALL_CANCELLED,

	/** A step of the planned stop threw an exception; the stop goes on. */
	STOP_STEP_FAILED,

	/** The end of this node cut off a call that ran at the target. */
	CALL_CUT;

	private final int linesPerSecond;

	private final String loggedName = EnumNames.lowerCase(this);

	LogEvent() {
		this(0);
	}

	LogEvent(int linesPerSecond) {
		this.linesPerSecond = linesPerSecond;
	}

	/**
	 * Returns the rate limit of an event about the node. Events about requests and calls
	 * share the limit of the settings.
	 * @return the maximum number of lines per second; 0 for an event about requests or
	 * calls
	 */
	int linesPerSecond() {
		return this.linesPerSecond;
	}

	String loggedName() {
		return this.loggedName;
	}

}
