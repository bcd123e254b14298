package org.eelgrasspitch.proxy;

import java.util.Locale;

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

	/** A request was answered; only a sample and late ones are logged. */
	REQUEST_DONE(40),

	/** A request was placed on a target; only a sample is logged. */
	REQUEST_PLACED(20),

	/** A request is sent to another target. */
	REQUEST_RETRIED(40),

	/** A request was refused and has not run. */
	REQUEST_REFUSED(60),

	/** A request failed and may have run. */
	REQUEST_FAILED(60),

	/** A caller left before its answer. */
	REQUEST_CANCELLED(20),

	/** The home refused a call that an entry had placed here. */
	CALL_REFUSED(40),

	/** The target did not answer a call properly. */
	CALL_FAILED(40);

	private final int linesPerSecond;

	LogEvent(int linesPerSecond) {
		this.linesPerSecond = linesPerSecond;
	}

	int linesPerSecond() {
		return this.linesPerSecond;
	}

	String word() {
		return name().toLowerCase(Locale.ROOT);
	}

}
