package org.eelgrasspitch.fleet;

import java.net.InetSocketAddress;

import org.eelgrasspitch.text.Channel;

/**
 * What happens to a {@link FleetMember}.
 */
public sealed interface FleetEvent {

	/**
	 * Time passed. Expected about every {@link FleetSettings#tickMillis()}.
	 */
	record Ticked() implements FleetEvent {

	}

	/**
	 * The platform served a document.
	 *
	 * @param channel which document
	 * @param sequence number of the call that this answers
	 * @param revision the platform's revision
	 * @param content the document's bytes
	 */
	record PlatformServed(Channel channel, long sequence, long revision, byte[] content) implements FleetEvent {

	}

	/**
	 * The platform has nothing newer than the call asked for.
	 *
	 * @param channel which document
	 * @param sequence number of the call that this answers
	 * @param revision the platform's current revision
	 */
	record PlatformUnchanged(Channel channel, long sequence, long revision) implements FleetEvent {

	}

	/**
	 * The platform did not answer properly.
	 *
	 * @param channel which document
	 * @param sequence number of the call that failed
	 */
	record PlatformFailed(Channel channel, long sequence) implements FleetEvent {

	}

	/**
	 * A link to another node is ready.
	 *
	 * @param link number of the link, unique in this process
	 * @param peer the other node
	 * @param outbound true when this node opened it
	 * @param dialled the address that was dialled; null for an inbound link
	 */
	record LinkOpened(long link, Peer peer, boolean outbound, InetSocketAddress dialled) implements FleetEvent {

	}

	/**
	 * A link that this node tried to open did not become ready.
	 *
	 * @param dialled the address that was dialled
	 */
	record LinkFailed(InetSocketAddress dialled) implements FleetEvent {

	}

	/**
	 * A link is gone.
	 *
	 * @param link number of the link
	 */
	record LinkClosed(long link) implements FleetEvent {

	}

	/**
	 * A message arrived.
	 *
	 * @param link number of the link
	 * @param message the message
	 */
	record Received(long link, PeerMessage message) implements FleetEvent {

	}

	/**
	 * A request carried the revision that its sender holds.
	 *
	 * @param revision a revision of the text
	 */
	record RevisionMentioned(long revision) implements FleetEvent {

	}

	/**
	 * The node must stop in an orderly way.
	 */
	record LeaveRequested() implements FleetEvent {

	}

	/**
	 * The last request of a leaving node is finished.
	 */
	record Drained() implements FleetEvent {

	}

}
