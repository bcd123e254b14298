package org.eelgrasspitch.text;

/**
 * The kinds of document that the platform publishes. Revisions are numbered separately
 * for each channel. Nodes exchange the ordinal, so append new constants at the end.
 */
public enum Channel {

	/** The operators' text, which configures the mesh. */
	TEXT,

	/** The VM list. */
	VMS

}
