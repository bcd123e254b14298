package org.eelgrasspitch.fleet;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.text.Channel;

/**
 * Asks peers for documents that are newer than those held: one question a channel at a
 * time, to the peer that holds the highest revision, given up after a bound.
 */
final class Puller {

	private final FleetSettings settings;

	private final Holdings holdings;

	private final LinkTable links;

	/**
	 * When the pull of a channel is given up, in monotonic milliseconds; absent when
	 * idle.
	 */
	private final Map<Channel, Long> pulls = new EnumMap<>(Channel.class);

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
		this.pulls.values().removeIf((deadline) -> now >= deadline);
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
		return this.pulls.remove(channel) != null;
	}

	void clear() {
		this.pulls.clear();
	}

	private FleetEffect ask(Link link, Channel channel, long now) {
		this.pulls.put(channel, now + this.settings.pullMillis());
		List<Digest> held = (this.settings.distribution() == Distribution.WHOLE) ? List.of()
				: this.holdings.digests(channel);
		return new FleetEffect.Send(link.id(), new PeerMessage.Pull(channel, held));
	}

}
