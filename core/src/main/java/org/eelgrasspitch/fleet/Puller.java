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
final class Puller {

	private final FleetSettings settings;

	private final Holdings holdings;

	private final LinkTable links;

	/** The open question of each channel; absent when there is none. */
	private final Map<Channel, Pending> pulls = new EnumMap<>(Channel.class);

	/** Channels whose next question lists the parts held. */
	private final Set<Channel> listed = EnumSet.noneOf(Channel.class);

	Puller(FleetSettings settings, Holdings holdings, LinkTable links) {
		this.settings = settings;
		this.holdings = holdings;
		this.links = links;
	}

	/**
	 * Asks for every document of which a peer holds a later version.
	 * @param gated true while no text may be taken yet
	 * @param now current monotonic time in milliseconds
	 * @return the questions
	 */
	List<FleetEffect> pullIfBehind(boolean gated, long now) {
		expire(now);
		List<FleetEffect> effects = new ArrayList<>();
		for (Channel channel : Channel.values()) {
			boolean mayAsk = !this.pulls.containsKey(channel) && !(gated && channel == Channel.TEXT);
			if (mayAsk) {
				long held = this.holdings.keeper(channel).heldRevision();
				this.links.best(channel, held).ifPresent((link) -> effects.add(ask(link, channel, now)));
			}
		}
		return effects;
	}

	/**
	 * Takes note of an answer.
	 * @return false when no question was open
	 */
	boolean answered(Channel channel) {
		Pending pending = this.pulls.remove(channel);
		if (pending == null) {
			return false;
		}
		this.links.link(pending.link()).ifPresent((link) -> link.pullEnded(true));
		return true;
	}

	void clear() {
		this.pulls.clear();
	}

	/**
	 * Takes note that a peer does not know the document held here and asks again with a
	 * list of its parts.
	 * @param channel which document
	 * @param gated true while no text may be taken yet
	 * @param now current monotonic time in milliseconds
	 * @return the questions
	 */
	List<FleetEffect> list(Channel channel, boolean gated, long now) {
		if (answered(channel)) {
			this.listed.add(channel);
		}
		return pullIfBehind(gated, now);
	}

	private void expire(long now) {
		for (Pending pending : List.copyOf(this.pulls.values())) {
			if (now >= pending.deadlineAt()) {
				this.pulls.values().remove(pending);
				this.links.link(pending.link()).ifPresent((link) -> link.pullEnded(false));
			}
		}
	}

	private FleetEffect ask(Link link, Channel channel, long now) {
		this.pulls.put(channel, new Pending(link.id(), now + this.settings.pullMillis()));
		return new FleetEffect.Send(link.id(), this.holdings.pull(channel, this.listed.remove(channel)));
	}

	/**
	 * A question that waits for its answer.
	 *
	 * @param link number of the link
	 * @param deadlineAt when it is given up, in monotonic milliseconds
	 */
	private record Pending(long link, long deadlineAt) {

	}

}
