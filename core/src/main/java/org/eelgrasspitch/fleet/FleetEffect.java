package org.eelgrasspitch.fleet;

import java.net.InetSocketAddress;

import org.eelgrasspitch.text.Channel;
import org.eelgrasspitch.text.Snapshot;
import org.eelgrasspitch.text.VmList;

/**
 * What a {@link FleetMember} wants done.
 */
public sealed interface FleetEffect {

	/**
	 * Open a link; answer with {@link FleetEvent.LinkOpened} or
	 * {@link FleetEvent.LinkFailed}.
	 *
	 * @param address where to connect
	 */
	record OpenLink(InetSocketAddress address) implements FleetEffect {

	}

	/**
	 * Close a link.
	 *
	 * @param link number of the link
	 */
	record CloseLink(long link) implements FleetEffect {

	}

	/**
	 * Send a message.
	 *
	 * @param link number of the link
	 * @param message the message
	 */
	record Send(long link, PeerMessage message) implements FleetEffect {

	}

	/**
	 * Call the platform, and drop the answer of any earlier call for the channel.
	 *
	 * @param channel which document
	 * @param sequence number to repeat in the event that answers
	 * @param afterRevision only a revision above this one is of interest
	 * @param waitMillis how long the platform may wait for one, in milliseconds; 0 for a
	 * plain read
	 */
	record CallPlatform(Channel channel, long sequence, long afterRevision, long waitMillis) implements FleetEffect {

	}

	/**
	 * Use a new snapshot for new requests.
	 *
	 * @param snapshot the snapshot
	 */
	record PublishText(Snapshot snapshot) implements FleetEffect {

	}

	/**
	 * Use a new VM list for new requests.
	 *
	 * @param vms the list
	 */
	record PublishVms(VmList vms) implements FleetEffect {

	}

	/**
	 * The node's life state changed.
	 *
	 * @param state the new state
	 */
	record LifecycleChanged(LifecycleState state) implements FleetEffect {

	}

	/**
	 * Something worth a log line and a count.
	 *
	 * @param kind what happened
	 * @param detail one line of text
	 */
	record LogEvent(EventKind kind, String detail) implements FleetEffect {

	}

}
