package org.eelgrasspitch.proxy;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import org.eelgrasspitch.mesh.SourceDelta;
import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.proxy.generated.LinkBeat;
import org.eelgrasspitch.proxy.generated.LinkDeath;
import org.eelgrasspitch.proxy.generated.LinkMessage;
import org.eelgrasspitch.proxy.generated.LinkPull;
import org.eelgrasspitch.request.Quarantine;

/**
 * The links to all peers: a peer is the node on the VM of a published target.
 * <p>
 * Links are opened ahead of need, so a request never waits for one, and a node that comes
 * back without any knowledge is found by the others, which matters while the source is
 * away. One link serves both directions; the node with the lower address dials first and
 * the other one only after {@link #SECOND_DIAL_MILLIS}.
 */
final class Links {

	/** Time between heartbeats on a link. */
	static final long BEAT_MILLIS = 500;

	/** A link is lost after this silence: two heartbeats and a slow machine's delay. */
	static final long SILENCE_MILLIS = 1_600;

	/** A link that has been silent for longer than a heartbeat is passed over. */
	static final long DOUBT_MILLIS = 800;

	/**
	 * Targets that a request may crash before it is refused: a popular request may be in
	 * progress at a target that dies of something else, but hardly three times.
	 */
	private static final int DEATHS = 3;

	/** How often missing links are looked for. */
	private static final long DIAL_MILLIS = 300;

	/** Head start of the node that dials first. */
	private static final long SECOND_DIAL_MILLIS = 600;

	/**
	 * How long a peer of the own failure domain may be ahead before its documents are
	 * asked for: longer than a follower of the source pauses between two calls, so that a
	 * node which reaches the source asks nobody.
	 */
	private static final long BEHIND_NEAR_MILLIS = 400;

	/**
	 * The same for a peer of another failure domain: documents of that size between
	 * failure domains are paid for, and the peers of the own one have been asked before.
	 */
	private static final long BEHIND_FAR_MILLIS = 800;

	/** Bytes that hold the length of a frame. */
	static final int LENGTH_BYTES = 4;

	private final Fabric fabric;

	private final Home home;

	private final long incarnation;

	private final Map<InetAddress, Link> byPeer = new HashMap<>();

	private final Set<Link> all = new HashSet<>();

	/** Peers that are being dialled. */
	private final Set<InetAddress> dialling = new HashSet<>();

	/** Since when each wanted peer has had no link. */
	private final Map<InetAddress, Long> missingSince = new HashMap<>();

	/** Requests that crash what runs them, as far as this node and its peers know. */
	private final Quarantine quarantine = new Quarantine(DEATHS);

	private View view = View.EMPTY;

	/**
	 * Since when some peer of the own failure domain has been ahead, by channel; 0 while
	 * none is.
	 */
	private final long[] behindNear = new long[SourceChannel.values().length];

	/** The same for peers of other failure domains. */
	private final long[] behindFar = new long[SourceChannel.values().length];

	private DocumentExchange documents;

	Links(Fabric fabric, Home home, long incarnation) {
		this.fabric = fabric;
		this.home = home;
		this.incarnation = incarnation;
	}

	/**
	 * Starts to listen, to dial and to send heartbeats.
	 * @param exchange answers and takes documents
	 */
	void start(DocumentExchange exchange) {
		this.documents = exchange;
		this.home.onStateChange(this::beatAll);
		Connections.server(this.fabric.loop())
			.childHandler(initializer(false))
			.bind(this.fabric.settings().linkAddress())
			.syncUninterruptibly();
		this.fabric.loop().scheduleAtFixedRate(this::beatAll, BEAT_MILLIS, BEAT_MILLIS, TimeUnit.MILLISECONDS);
		this.fabric.loop().scheduleAtFixedRate(this::dialMissing, DIAL_MILLIS, DIAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	void use(View newest) {
		this.view = newest;
		dialMissing();
	}

	/**
	 * Finds the link to a target's home.
	 * @param target the target
	 * @return the link, or empty when none is open or it is in doubt
	 */
	Optional<Link> to(TargetEntry target) {
		return Optional.ofNullable(this.byPeer.get(target.address().getAddress()))
			.filter(Link::isOpen)
			.filter((link) -> this.fabric.now() - link.lastHeardAt() <= DOUBT_MILLIS);
	}

	/**
	 * Estimates how many nodes there are.
	 * @return the number, this node included
	 */
	int nodes() {
		return Math.max(wanted().size() + 1, this.byPeer.size() + 1);
	}

	int open() {
		return this.byPeer.size();
	}

	Fabric fabric() {
		return this.fabric;
	}

	Home home() {
		return this.home;
	}

	long incarnation() {
		return this.incarnation;
	}

	void connected(Link link) {
		this.all.add(link);
	}

	void opened(Link link, String vm, boolean outbound) {
		Link former = this.byPeer.put(link.peer().getAddress(), link);
		this.missingSince.remove(link.peer().getAddress());
		this.fabric.log()
			.log(LogEvent.LINK_OPENED, "peer", vm, "address", link.peer(), "dialled", outbound, "second",
					former != null);
		link.send(beat());
	}

	void closed(Link link, String vm, String reason, int callsLost, int callsDropped) {
		this.all.remove(link);
		if (link.peer() == null) {
			return;
		}
		this.byPeer.remove(link.peer().getAddress(), link);
		this.all.stream()
			.filter((other) -> other.isOpen() && other.peer().getAddress().equals(link.peer().getAddress()))
			.findFirst()
			.ifPresent((other) -> this.byPeer.put(other.peer().getAddress(), other));
		this.fabric.metrics().linkLost();
		this.fabric.log()
			.log(LogEvent.LINK_LOST, "peer", vm, "reason", reason, "calls_lost", callsLost, "calls_dropped",
					callsDropped, "silent_ms", this.fabric.now() - link.lastHeardAt());
	}

	void revisions(Link link, List<Long> held) {
		for (SourceChannel channel : SourceChannel.values()) {
			int index = channel.ordinal();
			if (index >= held.size() || held.get(index) <= this.view.revisions()[index]) {
				continue;
			}
			long[] since = link.isNear() ? this.behindNear : this.behindFar;
			if (since[index] == 0) {
				since[index] = this.fabric.now();
				this.fabric.loop()
					.schedule(() -> pull(link, channel, since), link.isNear() ? BEHIND_NEAR_MILLIS : BEHIND_FAR_MILLIS,
							TimeUnit.MILLISECONDS);
			}
		}
	}

	/**
	 * Notes that a target died while it ran a request, and tells all peers.
	 * @param fingerprint the request's fingerprint
	 * @param target identifier of the target
	 */
	void crashed(Digest fingerprint, String target) {
		died(fingerprint, target);
		LinkMessage death = LinkMessage.death(new LinkDeath(ByteBuffer.wrap(fingerprint.bytes()), target));
		this.byPeer.values().stream().filter(Link::isOpen).forEach((link) -> link.send(death));
	}

	void died(Digest fingerprint, String target) {
		this.fabric.log().log(LogEvent.TARGET_DIED, "target", target, "fingerprint", fingerprint);
		this.quarantine.recordDeath(fingerprint, target, this.fabric.now());
	}

	Quarantine quarantine() {
		return this.quarantine;
	}

	void pulled(Link link, SourceChannel channel, long since) {
		this.documents.since(channel, since, (delta) -> this.fabric.loop().execute(() -> {
			if (link.isOpen()) {
				link.send(LinkMessage.document(LinkFrames.wire(channel, delta)));
			}
		}));
	}

	void document(SourceChannel channel, SourceDelta delta, String peer) {
		this.documents.offer(channel, delta, peer);
	}

	private void pull(Link link, SourceChannel channel, long[] behind) {
		int index = channel.ordinal();
		long since = behind[index];
		behind[index] = 0;
		if (!link.isOpen() || this.view.changedAt(channel) >= since) {
			// The source or another peer has brought something meanwhile; the next
			// heartbeat tells.
			return;
		}
		link.send(LinkMessage.pull(new LinkPull((byte) index, this.view.revisions()[index])));
	}

	private Set<InetAddress> wanted() {
		Set<InetAddress> peers = new HashSet<>();
		this.view.directory().all().forEach((entry) -> peers.add(entry.address().getAddress()));
		peers.remove(own());
		return peers;
	}

	private InetAddress own() {
		return this.fabric.settings().linkAddress().getAddress();
	}

	private void dialMissing() {
		long now = this.fabric.now();
		for (InetAddress peer : wanted()) {
			if (this.byPeer.containsKey(peer) || this.dialling.contains(peer)) {
				continue;
			}
			long since = this.missingSince.computeIfAbsent(peer, (address) -> now);
			if (isFirst(peer) || now - since >= SECOND_DIAL_MILLIS) {
				dial(peer);
			}
		}
	}

	private boolean isFirst(InetAddress peer) {
		return Arrays.compareUnsigned(own().getAddress(), peer.getAddress()) < 0;
	}

	private void dial(InetAddress peer) {
		this.dialling.add(peer);
		InetSocketAddress address = new InetSocketAddress(peer, this.fabric.settings().linkAddress().getPort());
		Connections.client(this.fabric.loop())
			.handler(initializer(true))
			.connect(address)
			.addListener((future) -> this.dialling.remove(peer));
	}

	private void beatAll() {
		long now = this.fabric.now();
		LinkMessage beat = beat();
		for (Link link : new ArrayList<>(this.all)) {
			if (now - link.lastHeardAt() > SILENCE_MILLIS) {
				link.close("silent");
				continue;
			}
			if (link.isOpen()) {
				link.send(beat);
			}
		}
	}

	private LinkMessage beat() {
		List<Long> changes = Arrays.stream(this.view.changes()).boxed().toList();
		return LinkMessage.beat(new LinkBeat(changes, LinkFrames.wire(this.home.load())));
	}

	private ChannelInitializer<Channel> initializer(boolean outbound) {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline()
					.addLast(new LengthFieldBasedFrameDecoder(LinkFrames.MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0,
							LENGTH_BYTES))
					.addLast(new LengthFieldPrepender(LENGTH_BYTES))
					.addLast(new Link(Links.this, outbound));
			}
		};
	}

}
