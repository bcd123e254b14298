package org.eelgrasspitch.wire;

/**
 * Purpose of a connection. Documents and requests use separate connections, so that a
 * large document does not delay requests (head-of-line blocking). The ordinal is sent in
 * the hello, so the order of the constants is part of the wire format.
 */
public enum Purpose {

	/** Distribution of the published documents. */
	FLEET,

	/** Requests and messages about them. */
	CALL

}
