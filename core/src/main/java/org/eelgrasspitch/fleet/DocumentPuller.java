package org.eelgrasspitch.fleet;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.eelgrasspitch.text.Channel;

/**
 * Asks peers for documents that are newer than those held: one question a channel at a
 * time, given up after a bound. Whoever left a question unanswered is asked after the
 * others.
 */
final class DocumentPuller {

	private final FleetSettings settings;

	private final DocumentStore documents;

	private final LinkTable links;

	/** The open question of each channel; absent when there is none. */
	private final Map<Channel, PendingPull> pendingPulls = new EnumMap<>(Channel.class);

	/** Channels whose next question lists the parts held. */
	private final Set<Channel> listPartsNext = EnumSet.noneOf(Channel.class);

	DocumentPuller(FleetSettings settings, DocumentStore documents, LinkTable links) {
		this.settings = settings;
		this.documents = documents;
		this.links = links;
	}

	/**
	 * Asks for every document of which a peer holds a later version.
	 * @param textBlocked true while no text may be taken yet
	 * @param now current monotonic time in milliseconds
	 * @return the questions
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
	 * Takes note of an answer.
	 * @return false when no question was open
	 */
	boolean answered(Channel channel) {
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
	 * Takes note that a peer does not know the document held here and asks again with a
	 * list of its parts.
	 * @param channel which document
	 * @param textBlocked true while no text may be taken yet
	 * @param now current monotonic time in milliseconds
	 * @return the questions
	 */
	List<FleetEffect> retryWithPartList(Channel channel, boolean textBlocked, long now) {
		if (answered(channel)) {
			this.listPartsNext.add(channel);
		}
		return pullIfBehind(textBlocked, now);
	}

	private void expire(long now) {
		for (PendingPull pending : List.copyOf(this.pendingPulls.values())) {
			if (now >= pending.deadlineAt()) {
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
	 * A question that waits for its answer.
	 *
	 * @param link number of the link
	 * @param deadlineAt when it is given up, in monotonic milliseconds
	 */
	private record PendingPull(long link, long deadlineAt) {

	}

}
