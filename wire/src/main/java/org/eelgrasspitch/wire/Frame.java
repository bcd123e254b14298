package org.eelgrasspitch.wire;

import org.eelgrasspitch.fleet.Peer;
import org.eelgrasspitch.fleet.PeerMessage;
import org.eelgrasspitch.request.CallMessage;

/**
 * A message on a connection between nodes.
 */
public sealed interface Frame {

	/**
	 * Identifies the sender. It is the first frame in each direction and is sent only
	 * once.
	 *
	 * @param peer the sender
	 * @param purpose the purpose of the connection, chosen by the side that dialled
	 */
	record Hello(Peer peer, Purpose purpose) implements Frame {

	}

	/**
	 * Carries a message about the published documents.
	 *
	 * @param message the message
	 */
	record Fleet(PeerMessage message) implements Frame {

	}

	/**
	 * Carries a message about a request.
	 *
	 * @param message the message
	 */
	record Call(CallMessage message) implements Frame {

	}

}
