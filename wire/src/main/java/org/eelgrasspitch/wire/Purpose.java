package org.eelgrasspitch.wire;

/**
 * What a connection is for. Documents and requests use separate connections, so that a
 * large document never delays a request.
 */
public enum Purpose {

	/** Published documents. */
	FLEET,

	/** Requests. */
	CALL

}
