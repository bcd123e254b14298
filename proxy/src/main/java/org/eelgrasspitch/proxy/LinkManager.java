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
 * the other one only after {@link #SECONDARY_DIAL_DELAY_MILLIS}.
 */
final class LinkManager {

	/** Time between heartbeats on a link. */
	static final long HEARTBEAT_INTERVAL_MILLIS = 500;

	/** A link is lost after this silence: two heartbeats and a slow machine's delay. */
	static final long LINK_TIMEOUT_MILLIS = 1_600;

	/** A link that has been silent for longer than a heartbeat is passed over. */
	static final long SUSPECT_LINK_MILLIS = 800;

	/**
	 * Targets that a request may crash before it is refused: a popular request may be in
	 * progress at a target that dies of something else, but hardly three times.
	 */
	private static final int QUARANTINE_CRASH_COUNT = 3;

	/** How often missing links are looked for. */
	private static final long DIAL_INTERVAL_MILLIS = 300;

	/** Head start of the node that dials first. */
	private static final long SECONDARY_DIAL_DELAY_MILLIS = 600;

	/**
	 * How long a peer of the own failure domain may be ahead before its documents are
	 * asked for: longer than a follower of the source pauses between two calls, so that a
	 * node which reaches the source asks nobody.
	 */
	private static final long NEAR_PULL_DELAY_MILLIS = 400;

	/**
	 * The same for a peer of another failure domain: documents of that size between
	 * failure domains are paid for, and the peers of the own one have been asked before.
	 */
	private static final long FAR_PULL_DELAY_MILLIS = 800;

	/** Bytes that hold the length of a frame. */
	static final int LENGTH_PREFIX_BYTES = 4;

	private final ProxyContext context;

	private final HomeService home;

	private final long incarnation;

	private final Map<InetAddress, Link> linksByPeer = new HashMap<>();

	private final Set<Link> allLinks = new HashSet<>();

	/** Peers that are being dialled. */
	private final Set<InetAddress> dialling = new HashSet<>();

	/** Since when each wanted peer has had no link. */
	private final Map<InetAddress, Long> linkMissingSinceMillis = new HashMap<>();

	/** Requests that crash what runs them, as far as this node and its peers know. */
	private final Quarantine quarantine = new Quarantine(QUARANTINE_CRASH_COUNT);

	private RoutingState state = RoutingState.EMPTY;

	/**
	 * Since when some peer of the own failure domain has been ahead, by channel; 0 while
	 * none is.
	 */
	private final long[] nearBehindSinceMillis = new long[SourceChannel.values().length];

	/** The same for peers of other failure domains. */
	private final long[] farBehindSinceMillis = new long[SourceChannel.values().length];

	private DocumentExchange documentExchange;

	LinkManager(ProxyContext context, HomeService home, long incarnation) {
		this.context = context;
		this.home = home;
		this.incarnation = incarnation;
	}

	/**
	 * Starts to listen, to dial and to send heartbeats.
	 * @param exchange answers and takes documents
	 */
	void start(DocumentExchange exchange) {
		this.documentExchange = exchange;
		this.home.onStateChange(this::sendHeartbeats);
		Bootstraps.server(this.context.loop())
			.childHandler(initializer(false))
			.bind(this.context.settings().linkAddress())
			.syncUninterruptibly();
		this.context.loop()
			.scheduleAtFixedRate(this::sendHeartbeats, HEARTBEAT_INTERVAL_MILLIS, HEARTBEAT_INTERVAL_MILLIS,
					TimeUnit.MILLISECONDS);
		this.context.loop()
			.scheduleAtFixedRate(this::dialMissingPeers, DIAL_INTERVAL_MILLIS, DIAL_INTERVAL_MILLIS,
					TimeUnit.MILLISECONDS);
	}

	void updateState(RoutingState newState) {
		this.state = newState;
		dialMissingPeers();
	}

	/**
	 * Finds the link to a target's home.
	 * @param target the target
	 * @return the link, or empty when none is open or it is in doubt
	 */
	Optional<Link> linkTo(TargetEntry target) {
		return Optional.ofNullable(this.linksByPeer.get(target.address().getAddress()))
			.filter(Link::isOpen)
			.filter((link) -> this.context.now() - link.lastReceivedAtMillis() <= SUSPECT_LINK_MILLIS);
	}

	/**
	 * Estimates how many nodes there are.
	 * @return the number, this node included
	 */
	int estimateNodeCount() {
		return Math.max(peerAddresses().size() + 1, this.linksByPeer.size() + 1);
	}

	int openLinkCount() {
		return this.linksByPeer.size();
	}

	ProxyContext context() {
		return this.context;
	}

	HomeService home() {
		return this.home;
	}

	long incarnation() {
		return this.incarnation;
	}

	void connected(Link link) {
		this.allLinks.add(link);
	}

	void opened(Link link, String vm, boolean outbound) {
		Link previous = this.linksByPeer.put(link.peer().getAddress(), link);
		this.linkMissingSinceMillis.remove(link.peer().getAddress());
		this.context.log()
			.log(LogEvent.LINK_OPENED, "peer", vm, "address", link.peer(), "dialled", outbound, "second",
					previous != null);
		link.send(heartbeat());
	}

	void closed(Link link, String vm, String reason, int callsLost, int callsDropped) {
		this.allLinks.remove(link);
		if (link.peer() == null) {
			return;
		}
		this.linksByPeer.remove(link.peer().getAddress(), link);
		this.allLinks.stream()
			.filter((other) -> other.isOpen() && other.peer().getAddress().equals(link.peer().getAddress()))
			.findFirst()
			.ifPresent((other) -> this.linksByPeer.put(other.peer().getAddress(), other));
		this.context.metrics().linkLost();
		this.context.log()
			.log(LogEvent.LINK_LOST, "peer", vm, "reason", reason, "calls_lost", callsLost, "calls_dropped",
					callsDropped, "silent_ms", this.context.now() - link.lastReceivedAtMillis());
	}

	void handlePeerRevisions(Link link, List<Long> peerRevisions) {
		for (SourceChannel channel : SourceChannel.values()) {
			int index = channel.ordinal();
			if (index >= peerRevisions.size() || peerRevisions.get(index) <= this.state.revisions()[index]) {
				continue;
			}
			long[] since = link.isNear() ? this.nearBehindSinceMillis : this.farBehindSinceMillis;
			if (since[index] == 0) {
				since[index] = this.context.now();
				this.context.loop()
					.schedule(() -> pull(link, channel, since),
							link.isNear() ? NEAR_PULL_DELAY_MILLIS : FAR_PULL_DELAY_MILLIS, TimeUnit.MILLISECONDS);
			}
		}
	}

	/**
	 * Notes that a target died while it ran a request, and tells all peers.
	 * @param fingerprint the request's fingerprint
	 * @param target identifier of the target
	 */
	void reportCrash(Digest fingerprint, String target) {
		recordCrash(fingerprint, target);
		LinkMessage notice = LinkMessage.death(new LinkDeath(ByteBuffer.wrap(fingerprint.bytes()), target));
		this.linksByPeer.values().stream().filter(Link::isOpen).forEach((link) -> link.send(notice));
	}

	void recordCrash(Digest fingerprint, String target) {
		this.context.log().log(LogEvent.TARGET_DIED, "target", target, "fingerprint", fingerprint);
		this.quarantine.recordDeath(fingerprint, target, this.context.now());
	}

	Quarantine quarantine() {
		return this.quarantine;
	}

	void handlePull(Link link, SourceChannel channel, long since) {
		this.documentExchange.deltaSince(channel, since, (delta) -> this.context.loop().execute(() -> {
			if (link.isOpen()) {
				link.send(LinkMessage.document(LinkFrames.toWire(channel, delta)));
			}
		}));
	}

	void handleDocument(SourceChannel channel, SourceDelta delta, String peer) {
		this.documentExchange.offer(channel, delta, peer);
	}

	private void pull(Link link, SourceChannel channel, long[] behindSinceMillis) {
		int index = channel.ordinal();
		long since = behindSinceMillis[index];
		behindSinceMillis[index] = 0;
		if (!link.isOpen() || this.state.changedAtMillis(channel) >= since) {
			// The source or another peer has brought something meanwhile; the next
			// heartbeat tells.
			return;
		}
		link.send(LinkMessage.pull(new LinkPull((byte) index, this.state.revisions()[index])));
	}

	private Set<InetAddress> peerAddresses() {
		Set<InetAddress> peers = new HashSet<>();
		this.state.directory().all().forEach((entry) -> peers.add(entry.address().getAddress()));
		peers.remove(ownAddress());
		return peers;
	}

	private InetAddress ownAddress() {
		return this.context.settings().linkAddress().getAddress();
	}

	private void dialMissingPeers() {
		long now = this.context.now();
		for (InetAddress peer : peerAddresses()) {
			if (this.linksByPeer.containsKey(peer) || this.dialling.contains(peer)) {
				continue;
			}
			long since = this.linkMissingSinceMillis.computeIfAbsent(peer, (address) -> now);
			if (isPrimaryDialer(peer) || now - since >= SECONDARY_DIAL_DELAY_MILLIS) {
				dial(peer);
			}
		}
	}

	private boolean isPrimaryDialer(InetAddress peer) {
		return Arrays.compareUnsigned(ownAddress().getAddress(), peer.getAddress()) < 0;
	}

	private void dial(InetAddress peer) {
		this.dialling.add(peer);
		InetSocketAddress address = new InetSocketAddress(peer, this.context.settings().linkAddress().getPort());
		Bootstraps.client(this.context.loop())
			.handler(initializer(true))
			.connect(address)
			.addListener((future) -> this.dialling.remove(peer));
	}

	private void sendHeartbeats() {
		long now = this.context.now();
		LinkMessage heartbeat = heartbeat();
		for (Link link : new ArrayList<>(this.allLinks)) {
			if (now - link.lastReceivedAtMillis() > LINK_TIMEOUT_MILLIS) {
				link.close("silent");
				continue;
			}
			if (link.isOpen()) {
				link.send(heartbeat);
			}
		}
	}

	private LinkMessage heartbeat() {
		List<Long> changes = Arrays.stream(this.state.lastChangeRevisions()).boxed().toList();
		return LinkMessage.beat(new LinkBeat(changes, LinkFrames.toWire(this.home.load())));
	}

	private ChannelInitializer<Channel> initializer(boolean outbound) {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline()
					.addLast(new LengthFieldBasedFrameDecoder(LinkFrames.MAX_FRAME_BYTES, 0, LENGTH_PREFIX_BYTES, 0,
							LENGTH_PREFIX_BYTES))
					.addLast(new LengthFieldPrepender(LENGTH_PREFIX_BYTES))
					.addLast(new Link(LinkManager.this, outbound));
			}
		};
	}

}
