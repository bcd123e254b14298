package org.eelgrasspitch.fleet;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.eelgrasspitch.text.Channel;

/**
 * Pulls documents from peers that hold a later version. At most one pull per channel is
 * pending, and it times out after {@link FleetSettings#pullMillis()}. Peers that left
 * pulls unanswered have lower preference.
 */
final class DocumentPuller {

	private final FleetSettings settings;

	private final DocumentStore documents;

	private final LinkTable links;

	/** The pending pull of each channel; absent when there is none. */
	private final Map<Channel, PendingPull> pendingPulls = new EnumMap<>(Channel.class);

	/** Channels whose next pull lists the digests of the parts held. */
	private final Set<Channel> listPartsNext = EnumSet.noneOf(Channel.class);

	DocumentPuller(FleetSettings settings, DocumentStore documents, LinkTable links) {
		this.settings = settings;
		this.documents = documents;
		this.links = links;
	}

	/**
	 * Starts a pull for every document of which a peer holds a later version.
	 * @param textBlocked true while no text may be accepted yet
	 * @param now current monotonic time in milliseconds
	 * @return the pull messages to send; empty when nothing is newer or pulls are pending
	 */
	List<FleetEffect> pullIfBehind(boolean textBlocked, long now) {
		expire(now);
		List<FleetEffect> effects = new ArrayList<>();
		for (Channel channel : Channel.values()) {
			boolean canPull = !this.pendingPulls.containsKey(channel) && !(textBlocked && channel == Channel.TEXT);
			if (canPull) {
				long held = this.documents.versions(channel).heldRevision();
				this.links.bestSource(channel, held).ifPresent((link) -> effects.add(pull(link, channel, now)));
			}
		}
		return effects;
	}

	/**
	 * Completes the pending pull of a channel.
	 * @return false when no pull was pending, so that the answer must be ignored
	 */
	boolean complete(Channel channel) {
		PendingPull pending = this.pendingPulls.remove(channel);
		if (pending == null) {
			return false;
		}
		this.links.link(pending.link()).ifPresent((link) -> link.pullEnded(true));
		return true;
	}

	void clear() {
		this.pendingPulls.clear();
	}

	/**
	 * Retries a pull, listing the parts held, after a peer reported that it does not know
	 * the base document.
	 * @param channel which document
	 * @param textBlocked true while no text may be accepted yet
	 * @param now current monotonic time in milliseconds
	 * @return the pull messages to send
	 */
	List<FleetEffect> retryWithPartList(Channel channel, boolean textBlocked, long now) {
		if (complete(channel)) {
			this.listPartsNext.add(channel);
		}
		return pullIfBehind(textBlocked, now);
	}

	/**
	 * Ends the pulls that have timed out or whose link has closed.
	 */
	private void expire(long now) {
		for (PendingPull pending : List.copyOf(this.pendingPulls.values())) {
			if (now >= pending.deadlineAt() || this.links.link(pending.link()).isEmpty()) {
				this.pendingPulls.values().remove(pending);
				this.links.link(pending.link()).ifPresent((link) -> link.pullEnded(false));
			}
		}
	}

	private FleetEffect pull(Link link, Channel channel, long now) {
		this.pendingPulls.put(channel, new PendingPull(link.id(), now + this.settings.pullMillis()));
		return new FleetEffect.Send(link.id(), this.documents.pullRequest(channel, this.listPartsNext.remove(channel)));
	}

	/**
	 * A pull that has not been answered yet.
	 *
	 * @param link identifier of the link
	 * @param deadlineAt when the pull times out, in monotonic milliseconds
	 */
	private record PendingPull(long link, long deadlineAt) {

	}

}
