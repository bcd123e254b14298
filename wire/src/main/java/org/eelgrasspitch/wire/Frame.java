package org.eelgrasspitch.wire;

import org.eelgrasspitch.fleet.Peer;
import org.eelgrasspitch.fleet.PeerMessage;
import org.eelgrasspitch.request.CallMessage;

/**
 * One message on a connection between nodes.
 */
public sealed interface Frame {

	/**
	 * Introduces the sender; the first frame in each direction.
	 *
	 * @param peer the sender
	 * @param purpose what the connection is for
	 */
	record Hello(Peer peer, Purpose purpose) implements Frame {

	}

	/**
	 * A message about the published documents.
	 *
	 * @param message the message
	 */
	record Fleet(PeerMessage message) implements Frame {

	}

	/**
	 * A message about a request.
	 *
	 * @param message the message
	 */
	record Call(CallMessage message) implements Frame {

	}

}
