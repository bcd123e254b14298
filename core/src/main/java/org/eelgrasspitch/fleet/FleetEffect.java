package org.eelgrasspitch.fleet;

import java.net.InetSocketAddress;

import org.eelgrasspitch.text.Channel;
import org.eelgrasspitch.text.Snapshot;
import org.eelgrasspitch.text.VmList;

/**
 * An action that a {@link FleetMember} requests from its environment.
 */
public sealed interface FleetEffect {

	/**
	 * Open a link. The outcome is reported by {@link FleetEvent.LinkOpened} or
	 * {@link FleetEvent.LinkFailed}.
	 *
	 * @param address peer address to connect to
	 */
	record OpenLink(InetSocketAddress address) implements FleetEffect {

	}

	/**
	 * Close a link.
	 *
	 * @param link identifier of the link
	 */
	record CloseLink(long link) implements FleetEffect {

	}

	/**
	 * Send a message to a peer.
	 *
	 * @param link identifier of the link
	 * @param message the message
	 */
	record Send(long link, PeerMessage message) implements FleetEffect {

	}

	/**
	 * Call the platform. An earlier call for the channel may be cancelled; the member
	 * ignores its outcome.
	 *
	 * @param channel the document to read
	 * @param sequence call number, to be repeated in the event that reports the outcome
	 * @param afterRevision revision above which the platform is to return content
	 * @param waitMillis maximum time that the platform may wait for such a revision, in
	 * milliseconds; 0 for a plain read
	 */
	record CallPlatform(Channel channel, long sequence, long afterRevision, long waitMillis) implements FleetEffect {

	}

	/**
	 * Publish a snapshot of the text for use by new requests.
	 *
	 * @param snapshot the snapshot
	 */
	record PublishText(Snapshot snapshot) implements FleetEffect {

	}

	/**
	 * Publish a VM list for use by new requests.
	 *
	 * @param vms the list
	 */
	record PublishVms(VmList vms) implements FleetEffect {

	}

	/**
	 * Report that the lifecycle state of the node changed.
	 *
	 * @param state the new state
	 */
	record LifecycleChanged(LifecycleState state) implements FleetEffect {

	}

	/**
	 * Write a log line and increment the counter of the event kind.
	 *
	 * @param kind kind of the event
	 * @param detail description in one line
	 */
	record LogEvent(EventKind kind, String detail) implements FleetEffect {

	}

}
