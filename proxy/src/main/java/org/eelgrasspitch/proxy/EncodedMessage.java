package org.eelgrasspitch.proxy;

import org.eelgrasspitch.proxy.generated.LinkMessage;

/**
 * An encoded link message, which can be sent on any number of links.
 *
 * @param kind kind of the message, for the metrics
 * @param frame the message with its length prefix
 */
record EncodedMessage(LinkMessage._Fields kind, byte[] frame) {

	static EncodedMessage of(LinkMessage message) {
		return new EncodedMessage(message.getSetField(), LinkFrames.frame(message));
	}

}
