package org.eelgrasspitch.proxy;

import org.eelgrasspitch.misc.EnumNames;

/**
 * Everything that the decision log tells. docs/OPERATIONS.md describes each one.
 */
enum LogEvent {

	/** The node has started to listen. */
	NODE_STARTED(5),

	/** The node was told to stop. */
	NODE_STOPPING(5),

	/** The node stops; what was still in progress is counted. */
	NODE_STOPPED(5),

	/** The settings were read again. */
	SETTINGS_RELOADED(5),

	/** The settings were read again and cannot be used. */
	SETTINGS_REFUSED(5),

	/** The steady clock stood still while the wall clock went on. */
	PAUSE_DETECTED(5),

	/** A configuration came into force. */
	CONFIG_APPLIED(20),

	/** A configuration was refused; the former one stays in force. */
	CONFIG_REFUSED(5),

	/** A target appeared or changed. */
	TARGET_SEEN(40),

	/** A target has announced that it is leaving. */
	TARGET_LEAVING(40),

	/** A target's entry is gone. */
	TARGET_GONE(40),

	/** A target's entry cannot be used. */
	TARGET_IGNORED(10),

	/** This VM's target cannot be reached. */
	TARGET_DOWN(10),

	/** This VM's target takes requests again. */
	TARGET_UP(10),

	/** The source of documents does not answer. */
	SOURCE_LOST(5),

	/** The source of documents answers again. */
	SOURCE_RETURNED(5),

	/** Documents were taken from a peer. */
	PEER_UPDATE(10),

	/** A link to a peer was opened. */
	LINK_OPENED(20),

	/** A link to a peer was lost. */
	LINK_LOST(20),

	/** A target is passed over, because another one answered at its address. */
	TARGET_DISPLACED(10),

	/** A target died while it ran a request. */
	TARGET_DIED(10),

	/** A request has a route and may be sent. */
	REQUEST_ADMITTED,

	/** A target was chosen for a request. */
	REQUEST_PLACED,

	/** A request is sent to another target. */
	REQUEST_RETRIED,

	/** A request that takes long is sent to a second target as well. */
	REQUEST_HEDGED,

	/** A request was refused and has not run. */
	REQUEST_REFUSED,

	/** A request failed and may have run. */
	REQUEST_FAILED,

	/** A request was answered by a target. */
	REQUEST_DONE,

	/** An answer had to wait for those of earlier requests on its connection. */
	REQUEST_HELD,

	/** A caller left before its answer. */
	REQUEST_CANCELLED,

	/** A call waits at the home for a slot of the target. */
	CALL_QUEUED,

	/** The home refused a call that an entry had placed here. */
	CALL_REFUSED,

	/** The target did not answer a call properly. */
	CALL_FAILED,

	/** The target answered a call. */
	CALL_DONE,

	/** The entry has given a call up. */
	CALL_CANCELLED;

	private final int linesPerSecond;

	private final String loggedName = EnumNames.lowerCase(this);

	LogEvent() {
		this(0);
	}

	LogEvent(int linesPerSecond) {
		this.linesPerSecond = linesPerSecond;
	}

	/**
	 * Returns the bound of an event about the node; those about requests have one
	 * together.
	 * @return lines in a second; 0 for an event about requests
	 */
	int linesPerSecond() {
		return this.linesPerSecond;
	}

	String loggedName() {
		return this.loggedName;
	}

}
