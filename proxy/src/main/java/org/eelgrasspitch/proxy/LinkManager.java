package org.eelgrasspitch.proxy;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.eelgrasspitch.mesh.LinkSelection;
import org.eelgrasspitch.mesh.SourcePosition;
import org.eelgrasspitch.mesh.SourceReaders.Report;
import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.proxy.generated.LinkBeat;
import org.eelgrasspitch.proxy.generated.LinkMessage;

/**
 * Manages the links to peers, which are the nodes on the VMs of published targets, as
 * selected by {@link LinkSelection}.
 * <p>
 * Links are opened in advance, so that no request waits for one, and a link that is not
 * selected any more is closed only when it has not been used for some time. Peers also
 * connect to a node that restarts with an empty routing state, so that it can recover the
 * documents from them while the source is unavailable. One link serves both directions;
 * the node with the lower address connects first, the other one only after
 * {@link #SECONDARY_DIAL_DELAY_MILLIS}.
 */
final class LinkManager {

	/** Interval of the check for silent and surplus links and due heartbeats. */
	private static final long LINK_CHECK_INTERVAL_MILLIS = 250;

	/** Interval at which the peers are selected again, as far as they are reachable. */
	private static final long SELECTION_INTERVAL_MILLIS = 1_000;

	/** Time without a link after which a peer counts as unreachable. */
	private static final long UNREACHABLE_MILLIS = 1_200;

	/**
	 * Time without a call after which a link to a peer that is not selected is closed.
	 */
	private static final long SURPLUS_LINK_MILLIS = 30_000;

	/** Interval of the check for peers without a link. */
	private static final long DIAL_INTERVAL_MILLIS = 300;

	/** Delay after which the node with the higher address connects. */
	private static final long SECONDARY_DIAL_DELAY_MILLIS = 600;

	/**
	 * Time after which a link that is missing or silent is no longer expected to open
	 * soon. Longer than {@link #DIAL_INTERVAL_MILLIS}, so that at least one connection
	 * attempt falls into it.
	 */
	private static final long EXPECTED_LINK_MILLIS = 400;

	private final ProxyContext context;

	private final HomeService home;

	private final long incarnation;

	private final Map<InetAddress, Link> linksByPeer = new HashMap<>();

	private final Set<Link> allLinks = new HashSet<>();

	/** Links that this node has ended and that are still open; empty before. */
	private final Set<Link> endedLinks = new HashSet<>();

	/** Whether this node ends its links because it is about to close. */
	private boolean ending;

	/** Peers to which a connection is being opened. */
	private final Set<InetAddress> dialling = new HashSet<>();

	/**
	 * Monotonic time in milliseconds at which a published peer was first found without a
	 * link, by peer.
	 */
	private final Map<InetAddress, Long> linkMissingSinceMillis = new HashMap<>();

	private final QuarantineKeeper quarantine;

	private RoutingState state = RoutingState.EMPTY;

	/** Monotonic time in milliseconds of the last periodic selection of peers. */
	private long lastSelectedAtMillis;

	private final LinkSelection selection;

	/** Peers to which this node keeps a link. */
	private Set<InetAddress> selectedPeers = Set.of();

	private DocumentReplicator replicator;

	private SourceRole role;

	LinkManager(ProxyContext context, HomeService home, QuarantineKeeper quarantine, long incarnation) {
		this.context = context;
		this.home = home;
		this.quarantine = quarantine;
		this.incarnation = incarnation;
		this.selection = new LinkSelection(context.settings().vm(), context.settings().failureDomain());
	}

	/**
	 * Starts listening, connecting to peers and sending heartbeats.
	 * @param exchange answers pulls and receives documents from peers
	 * @param roleListener receives whether this node reads the source
	 */
	void start(DocumentExchange exchange, SourceRole.SourceRoleListener roleListener) {
		this.replicator = new DocumentReplicator(this.context, exchange);
		this.role = new SourceRole(this.context, roleListener);
		this.home.onStateChange(() -> sendHeartbeats((link) -> true));
		this.quarantine.setBroadcast(this::sendToPeers);
		Bootstraps.server(this.context.loop())
			.childHandler(initializer(false))
			.bind(this.context.settings().linkAddress())
			.syncUninterruptibly();
		this.context.loop()
			.scheduleAtFixedRate(this::checkLinks, LINK_CHECK_INTERVAL_MILLIS, LINK_CHECK_INTERVAL_MILLIS,
					TimeUnit.MILLISECONDS);
		this.context.loop()
			.scheduleAtFixedRate(this::dialMissingPeers, DIAL_INTERVAL_MILLIS, DIAL_INTERVAL_MILLIS,
					TimeUnit.MILLISECONDS);
	}

	void updateState(RoutingState newState) {
		RoutingState previous = this.state;
		this.state = newState;
		if (newState.directory() != previous.directory()) {
			selectPeers();
		}
		if (newState.sourceReport() != previous.sourceReport()) {
			// Precedes the documents, whose removals are interpreted by it.
			sendHeartbeats(Link::isNear);
		}
		this.replicator.updateState(newState, this.role.isLeading(), usableNearLinks());
		if (this.role.isLeading() && newState.sourceReport() == Report.SERVED
				&& !newState.lastChanges().equals(previous.lastChanges())) {
			sendHeartbeats((link) -> !link.isNear());
		}
		updateRole();
		dialMissingPeers();
	}

	/**
	 * Decides again whether this node reads the source.
	 */
	void updateRole() {
		this.role.update(usableNearLinks(), this.state);
	}

	private List<Link> usableNearLinks() {
		return this.linksByPeer.values().stream().filter((link) -> link.isNear() && link.isUsable()).toList();
	}

	/**
	 * Returns the link to a target's home.
	 * @param target the target
	 * @return the link; empty if none is open or it is silent
	 */
	Optional<Link> linkTo(TargetEntry target) {
		return Optional.ofNullable(this.linksByPeer.get(target.address().getAddress())).filter(Link::isUsable);
	}

	/**
	 * Returns whether a usable link to a target's home is missing but likely to open
	 * soon: it was lost, became silent or was first needed at most
	 * {@link #EXPECTED_LINK_MILLIS} ago. A request that waits for a link that has been
	 * missing for longer would probably wait until its deadline.
	 * @param target the target
	 * @return true if a request may wait for the link
	 */
	boolean isLinkExpected(TargetEntry target) {
		if (linkTo(target).isPresent()) {
			return false;
		}
		long now = this.context.now();
		InetAddress peer = target.address().getAddress();
		Link silent = this.linksByPeer.get(peer);
		if (silent != null) {
			return now - silent.lastReceivedAtMillis() <= LinkActivity.HEARTBEAT_INTERVAL_MILLIS + EXPECTED_LINK_MILLIS;
		}
		if (!this.selectedPeers.contains(peer)) {
			return false;
		}
		return now - this.linkMissingSinceMillis.getOrDefault(peer, now) <= EXPECTED_LINK_MILLIS;
	}

	/**
	 * Estimates the number of nodes in the fleet.
	 * @return the number, including this node
	 */
	int estimateNodeCount() {
		return Math.max(publishedPeerCount() + 1, this.linksByPeer.size() + 1);
	}

	int openLinkCount() {
		return this.linksByPeer.size();
	}

	/**
	 * Returns how many bytes wait to be sent.
	 * @return the number on all links, in bytes
	 */
	long waitingBytes() {
		return this.allLinks.stream().mapToLong(Link::waitingBytes).sum();
	}

	/**
	 * Flushes all links.
	 */
	void flush() {
		List.copyOf(this.allLinks).forEach(Link::flush);
	}

	/**
	 * Ends all links once what waits on them is sent. Peers close them when they have
	 * read it. No link is opened any more.
	 */
	void endConnections() {
		this.ending = true;
		this.endedLinks.addAll(this.allLinks);
		List.copyOf(this.endedLinks).forEach(Link::shutDownOutput);
	}

	/**
	 * Returns how many of the ended links the peers have not closed yet.
	 * @return the number; 0 before {@link #endConnections}
	 */
	int endedConnections() {
		return this.endedLinks.size();
	}

	boolean isReadingSource() {
		return this.role.isReading();
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
		if (this.ending) {
			link.close("this node is about to close");
		}
	}

	void helloReceived(Link link, String vm, boolean outbound) {
		Link previous = this.linksByPeer.put(link.peer().getAddress(), link);
		this.linkMissingSinceMillis.remove(link.peer().getAddress());
		this.context.log()
			.logNodeEvent(LogEvent.LINK_OPENED, "peer", vm, "address", link.peer(), "dialled", outbound, "second",
					previous != null);
		link.sendHeartbeat(heartbeat());
		this.quarantine.linkOpened(link);
		updateRole();
	}

	void connectionClosed(Link link, String vm, String reason, int callsLost, int callsDropped) {
		this.allLinks.remove(link);
		this.endedLinks.remove(link);
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
		updateRole();
	}

	private void sendToPeers(LinkMessage message, Predicate<Link> receives) {
		EncodedMessage encoded = EncodedMessage.of(message);
		this.linksByPeer.values()
			.stream()
			.filter((link) -> link.isOpen() && receives.test(link))
			.forEach((link) -> link.send(encoded));
	}

	DocumentReplicator replicator() {
		return this.replicator;
	}

	QuarantineKeeper quarantine() {
		return this.quarantine;
	}

	private int publishedPeerCount() {
		return (int) this.state.directory()
			.all()
			.stream()
			.map((entry) -> entry.address().getAddress())
			.filter((peer) -> !peer.equals(ownAddress()))
			.distinct()
			.count();
	}

	private void selectPeers() {
		Set<InetAddress> selected = new LinkedHashSet<>(
				this.selection.select(this.state.directory().all(), this::isUnreachable));
		selected.remove(ownAddress());
		this.selectedPeers = selected;
		this.linkMissingSinceMillis.keySet().retainAll(selected);
	}

	private boolean isUnreachable(InetAddress peer) {
		Long missingSince = this.linkMissingSinceMillis.get(peer);
		return missingSince != null && this.context.now() - missingSince > UNREACHABLE_MILLIS;
	}

	private InetAddress ownAddress() {
		return this.context.settings().linkAddress().getAddress();
	}

	private void dialMissingPeers() {
		if (this.ending) {
			return;
		}
		long now = this.context.now();
		for (InetAddress peer : this.selectedPeers) {
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

	private void checkLinks() {
		for (Link link : new ArrayList<>(this.allLinks)) {
			if (link.isLost()) {
				link.close("silent");
			}
			else if (isSurplus(link)) {
				link.close("not needed");
			}
		}
		sendHeartbeats(Link::isHeartbeatDue);
		updateRole();
		long now = this.context.now();
		if (now - this.lastSelectedAtMillis >= SELECTION_INTERVAL_MILLIS) {
			this.lastSelectedAtMillis = now;
			selectPeers();
		}
	}

	/**
	 * Returns whether a link that this node opened is neither selected nor used any more.
	 * A link that the peer opened is closed by the peer.
	 */
	private boolean isSurplus(Link link) {
		return link.isOutbound() && link.isOpen() && link.isIdle()
				&& !this.selectedPeers.contains(link.peer().getAddress())
				&& this.context.now() - link.lastCallAtMillis() > SURPLUS_LINK_MILLIS
				&& this.context.now() - link.openedAtMillis() > SURPLUS_LINK_MILLIS;
	}

	private void sendHeartbeats(Predicate<Link> receives) {
		EncodedMessage heartbeat = null;
		for (Link link : List.copyOf(this.allLinks)) {
			if (link.isOpen() && receives.test(link)) {
				heartbeat = (heartbeat != null) ? heartbeat : heartbeat();
				link.sendHeartbeat(heartbeat);
			}
		}
	}

	private EncodedMessage heartbeat() {
		List<SourcePosition> changes = this.state.lastChanges();
		return EncodedMessage.of(LinkMessage.beat(new LinkBeat(changes.stream().map(SourcePosition::revision).toList(),
				LinkFrames.toWire(this.home.reportedLoad()))
			.setSource((byte) this.state.sourceReport().ordinal())
			.setEras(changes.stream().map(SourcePosition::era).toList())));
	}

	private ChannelInitializer<Channel> initializer(boolean outbound) {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel channel) {
				SocketInput input = new SocketInput(() -> {
				});
				channel.pipeline()
					.addLast(input)
					.addLast(new LengthFieldBasedFrameDecoder(LinkFrames.MAX_FRAME_BYTES, 0,
							LinkFrames.LENGTH_PREFIX_BYTES, 0, LinkFrames.LENGTH_PREFIX_BYTES))
					.addLast(new Link(LinkManager.this, outbound, input));
			}
		};
	}

}
