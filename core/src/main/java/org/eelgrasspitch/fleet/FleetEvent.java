package org.eelgrasspitch.fleet;

import java.net.InetSocketAddress;

import org.eelgrasspitch.text.Channel;

/**
 * Input event of a {@link FleetMember}.
 */
public sealed interface FleetEvent {

	/**
	 * The periodic timer fired; expected about every {@link FleetSettings#tickMillis()}.
	 */
	record Ticked() implements FleetEvent {

	}

	/**
	 * The platform served a document.
	 *
	 * @param channel the document
	 * @param sequence sequence number of the call that this answers
	 * @param revision the platform's revision
	 * @param content the document, encoded as the platform sent it
	 */
	record PlatformServed(Channel channel, long sequence, long revision, byte[] content) implements FleetEvent {

	}

	/**
	 * The platform has no revision above the one that the call named.
	 *
	 * @param channel the document
	 * @param sequence sequence number of the call that this answers
	 * @param revision the platform's current revision
	 */
	record PlatformUnchanged(Channel channel, long sequence, long revision) implements FleetEvent {

	}

	/**
	 * A call to the platform failed or returned an invalid response.
	 *
	 * @param channel the document
	 * @param sequence sequence number of the call that failed
	 */
	record PlatformFailed(Channel channel, long sequence) implements FleetEvent {

	}

	/**
	 * A link to another node is established.
	 *
	 * @param link identifier of the link, unique in this process
	 * @param peer the other node
	 * @param outbound true when this node opened the link
	 * @param dialled the address that was dialled; null for an inbound link
	 */
	record LinkOpened(long link, Peer peer, boolean outbound, InetSocketAddress dialled) implements FleetEvent {

	}

	/**
	 * A link that this node tried to open could not be established.
	 *
	 * @param dialled the address that was dialled
	 */
	record LinkFailed(InetSocketAddress dialled) implements FleetEvent {

	}

	/**
	 * A link was closed.
	 *
	 * @param link identifier of the link
	 */
	record LinkClosed(long link) implements FleetEvent {

	}

	/**
	 * A message was received.
	 *
	 * @param link identifier of the link
	 * @param message the message
	 */
	record Received(long link, PeerMessage message) implements FleetEvent {

	}

	/**
	 * A request or reply carried a revision of the text that is later than the one held.
	 *
	 * @param revision revision of the text that the sender uses, or that a caller knows
	 * to be in force
	 */
	record RevisionMentioned(long revision) implements FleetEvent {

	}

	/**
	 * The node must shut down gracefully.
	 */
	record LeaveRequested() implements FleetEvent {

	}

	/**
	 * The last request of a leaving node has finished.
	 */
	record Drained() implements FleetEvent {

	}

}
