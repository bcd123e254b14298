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
 * Manages the links to all peers, which are the nodes on the VMs of published targets.
 * <p>
 * Links are opened in advance, so that no request waits for one. Peers also connect to a
 * node that restarts with an empty routing state, so that it can recover the documents
 * from them while the source is unavailable. One link serves both directions; the node
 * with the lower address connects first, the other one only after
 * {@link #SECONDARY_DIAL_DELAY_MILLIS}.
 */
final class LinkManager {

	/** Interval of heartbeats on a link. */
	static final long HEARTBEAT_INTERVAL_MILLIS = 500;

	/**
	 * Time without any message after which a link is lost: two heartbeats plus the
	 * scheduling delay of a slow machine.
	 */
	static final long LINK_TIMEOUT_MILLIS = 1_600;

	/**
	 * Time without any message after which a link is not used for new calls. Longer than
	 * {@link #HEARTBEAT_INTERVAL_MILLIS}.
	 */
	static final long SUSPECT_LINK_MILLIS = 800;

	/**
	 * Number of distinct targets whose crash quarantines a request. A frequent request
	 * may be running at a target that crashes for another reason, but that is unlikely to
	 * happen three times.
	 */
	private static final int QUARANTINE_CRASH_THRESHOLD = 3;

	/** Interval of the check for peers without a link. */
	private static final long DIAL_INTERVAL_MILLIS = 300;

	/** Delay after which the node with the higher address connects. */
	private static final long SECONDARY_DIAL_DELAY_MILLIS = 600;

	/**
	 * Time for which a peer in the same failure domain may hold a newer revision before
	 * its documents are pulled. Longer than the interval between two requests of an
	 * adapter that watches the {@link Source}, so that a node that reaches the source
	 * pulls from no peer.
	 */
	private static final long NEAR_PULL_DELAY_MILLIS = 400;

	/**
	 * Same as {@link #NEAR_PULL_DELAY_MILLIS} for a peer in another failure domain.
	 * Documents are large and traffic between failure domains is charged for, so peers in
	 * the same failure domain are asked first.
	 */
	private static final long FAR_PULL_DELAY_MILLIS = 800;

	/** Size of the length prefix of a frame. */
	static final int LENGTH_PREFIX_BYTES = 4;

	private final ProxyContext context;

	private final HomeService home;

	private final long incarnation;

	private final Map<InetAddress, Link> linksByPeer = new HashMap<>();

	private final Set<Link> allLinks = new HashSet<>();

	/** Peers to which a connection is being opened. */
	private final Set<InetAddress> dialling = new HashSet<>();

	/**
	 * Monotonic time in milliseconds at which a published peer was first found without a
	 * link, by peer.
	 */
	private final Map<InetAddress, Long> linkMissingSinceMillis = new HashMap<>();

	/** Requests that crash targets, as recorded by this node and its peers. */
	private final Quarantine quarantine = new Quarantine(QUARANTINE_CRASH_THRESHOLD);

	private RoutingState state = RoutingState.EMPTY;

	/**
	 * Monotonic time in milliseconds at which a pull from a peer in the same failure
	 * domain was scheduled because the peer held a newer revision, by channel ordinal; 0
	 * if none is scheduled.
	 */
	private final long[] nearPullScheduledAtMillis = new long[SourceChannel.values().length];

	/** Same as {@link #nearPullScheduledAtMillis} for peers in other failure domains. */
	private final long[] farPullScheduledAtMillis = new long[SourceChannel.values().length];

	private DocumentExchange documentExchange;

	LinkManager(ProxyContext context, HomeService home, long incarnation) {
		this.context = context;
		this.home = home;
		this.incarnation = incarnation;
	}

	/**
	 * Starts listening, connecting to peers and sending heartbeats.
	 * @param exchange answers pulls and receives documents from peers
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
	 * Returns the link to a target's home.
	 * @param target the target
	 * @return the link; empty if none is open or nothing was received on it for longer
	 * than {@link #SUSPECT_LINK_MILLIS}
	 */
	Optional<Link> linkTo(TargetEntry target) {
		return Optional.ofNullable(this.linksByPeer.get(target.address().getAddress()))
			.filter(Link::isOpen)
			.filter((link) -> this.context.now() - link.lastReceivedAtMillis() <= SUSPECT_LINK_MILLIS);
	}

	/**
	 * Estimates the number of nodes in the fleet.
	 * @return the number, including this node
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

	void connectionOpened(Link link) {
		this.allLinks.add(link);
	}

	void helloReceived(Link link, String vm, boolean outbound) {
		Link previous = this.linksByPeer.put(link.peer().getAddress(), link);
		this.linkMissingSinceMillis.remove(link.peer().getAddress());
		this.context.log()
			.logNodeEvent(LogEvent.LINK_OPENED, "peer", vm, "address", link.peer(), "dialled", outbound, "second",
					previous != null);
		link.send(heartbeat());
	}

	void connectionClosed(Link link, String vm, String reason, int callsLost, int callsDropped) {
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
			.logNodeEvent(LogEvent.LINK_LOST, "peer", vm, "reason", reason, "calls_lost", callsLost, "calls_dropped",
					callsDropped, "silent_ms", this.context.now() - link.lastReceivedAtMillis());
	}

	/**
	 * Schedules a pull of each document that has changed at the peer since the revision
	 * held here.
	 * @param link link to the peer
	 * @param lastChangeRevisions revision of the last change of each document at the
	 * peer, by channel ordinal
	 */
	void handlePeerRevisions(Link link, List<Long> lastChangeRevisions) {
		for (SourceChannel channel : SourceChannel.values()) {
			int index = channel.ordinal();
			if (index >= lastChangeRevisions.size()
					|| lastChangeRevisions.get(index) <= this.state.revisions()[index]) {
				continue;
			}
			long[] scheduledAtMillis = link.isNear() ? this.nearPullScheduledAtMillis : this.farPullScheduledAtMillis;
			if (scheduledAtMillis[index] == 0) {
				scheduledAtMillis[index] = this.context.now();
				this.context.loop()
					.schedule(() -> pull(link, channel, scheduledAtMillis),
							link.isNear() ? NEAR_PULL_DELAY_MILLIS : FAR_PULL_DELAY_MILLIS, TimeUnit.MILLISECONDS);
			}
		}
	}

	/**
	 * Records that a target crashed while running a request and notifies all peers.
	 * @param fingerprint the request's fingerprint
	 * @param target identifier of the target
	 */
	void reportCrash(Digest fingerprint, String target) {
		recordCrash(fingerprint, target);
		LinkMessage notice = LinkMessage.death(new LinkDeath(ByteBuffer.wrap(fingerprint.bytes()), target));
		this.linksByPeer.values().stream().filter(Link::isOpen).forEach((link) -> link.send(notice));
	}

	void recordCrash(Digest fingerprint, String target) {
		this.context.log().logNodeEvent(LogEvent.TARGET_DIED, "target", target, "fingerprint", fingerprint);
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

	private void pull(Link link, SourceChannel channel, long[] scheduledAtMillis) {
		int index = channel.ordinal();
		long since = scheduledAtMillis[index];
		scheduledAtMillis[index] = 0;
		if (!link.isOpen() || this.state.lastDeltaAtMillis(channel) >= since) {
			// The link is closed, or the source or another peer has delivered a delta
			// meanwhile, possibly an empty one. If a peer is still ahead, its next
			// heartbeat shows it.
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
