package org.eelgrasspitch.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.text.Channel;
import org.eelgrasspitch.text.Document;
import org.eelgrasspitch.text.ParsedDocument;
import org.eelgrasspitch.text.Snapshot;
import org.eelgrasspitch.text.Version;
import org.eelgrasspitch.text.VmList;

/**
 * One node's part in distributing the published documents. It takes events and returns
 * effects; it reads no clock, opens no socket and starts no thread, and one thread at a
 * time may use it.
 * <p>
 * <b>How documents travel.</b> In each failure domain {@link ReaderRanking} names two
 * readers. The first watches the platform; the second watches the VM list, and the text
 * only when it has no recent word that anybody asked for it. Every node keeps a link to
 * the readers of its failure domain, and each reader also to one reader of every other
 * failure domain. Whoever accepts a version tells the peers on its links that hold less;
 * they pull the parts that they lack. A change so reaches a node in two steps, and a
 * failure domain that is cut off from the platform still learns through its neighbours.
 * <p>
 * <b>Which version is held</b> is decided by {@link VersionKeeper}. When a process starts
 * it first asks peers what they hold and only then takes a text, because the platform may
 * serve something that this node had already left behind before it was restarted.
 * <p>
 * <b>Evidence</b> is the time at which the platform is known to have had nothing newer
 * than the text held here. It ages; peers pass it on with its age, so it cannot be kept
 * alive by hearsay. While it is fresh the node is {@link LifeState#SERVING}; otherwise it
 * is {@link LifeState#ISOLATED} and serves what it has. A process that was paused drops
 * its evidence and is {@link LifeState#CONFIRMING} until a peer answers a question that
 * was asked after the pause, or a short bound passes.
 * <p>
 * Worked case: a follower holds 5 and is paused for a minute while 6 is published. On
 * wake the first event shows the gap; the state becomes confirming and a query with a new
 * nonce goes to both readers. Heartbeats that waited in the socket's buffer repeat no
 * such nonce and confirm nothing. A reader answers "6, evidence 2 s old"; the floor is
 * now 6, the node pulls 6, accepts it, and is serving.
 */
public final class FleetMember {

	private static final long INBOUND_SILENCE_FACTOR = 6;

	private static final long QUERY_INTERVAL_MILLIS = 1_000;

	/** Ticks that may be missed before this process counts as held up. */
	private static final int HELD_UP_TICKS = 3;

	private final FleetSettings settings;

	private final RandomGenerator random;

	private final Holdings holdings;

	private final LinkTable links;

	private final Topology topology;

	private final Puller puller;

	private final PlatformCaller platform;

	private final LifeKeeper life;

	/** Text that the platform served before peers were asked; null when none. */
	private FleetEvent.PlatformServed candidate;

	/** True once peers were asked, so that a first text may be taken. */
	private boolean startGateOpen;

	private final long startedAt;

	/** When the latest event was handled. */
	private long handledAt;

	/** Time in which this process was held up, as by a slow start, and asked nobody. */
	private long heldUpMillis;

	/** When a query was last sent because of a mentioned revision. */
	private long mentionedAt;

	/** Effects of the event being handled. */
	private List<FleetEffect> effects = new ArrayList<>();

	/**
	 * Creates the member of a process that just started.
	 * @param settings identity and bounds
	 * @param random source of randomness
	 * @param now current monotonic time in milliseconds
	 */
	public FleetMember(FleetSettings settings, RandomGenerator random, long now) {
		this.settings = settings;
		this.random = random;
		this.holdings = new Holdings(settings.distribution());
		this.links = new LinkTable(random);
		this.topology = new Topology(settings, random, this.links, now);
		this.puller = new Puller(settings, this.holdings, this.links);
		this.platform = new PlatformCaller(random, settings.platformCallsPerSecond(), now);
		this.life = new LifeKeeper(settings, nonce());
		this.startedAt = now;
		this.handledAt = now;
		this.startGateOpen = settings.distribution() == Distribution.POLL;
	}

	/**
	 * Handles one event.
	 * @param event what happened
	 * @param now current monotonic time in milliseconds
	 * @return what to do, in order
	 */
	public List<FleetEffect> handle(FleetEvent event, long now) {
		this.effects = new ArrayList<>();
		detectPause(now);
		switch (event) {
			case FleetEvent.Ticked ticked -> tick(now);
			case FleetEvent.PlatformServed served -> served(served, now);
			case FleetEvent.PlatformUnchanged unchanged -> unchanged(unchanged, now);
			case FleetEvent.PlatformFailed failed -> platformFailed(failed, now);
			case FleetEvent.LinkOpened opened -> linkOpened(opened, now);
			case FleetEvent.LinkFailed failed -> this.links.failed(failed.dialled(), now);
			case FleetEvent.LinkClosed closed -> linkClosed(closed, now);
			case FleetEvent.Received received -> received(received, now);
			case FleetEvent.RevisionMentioned mentioned -> revisionMentioned(mentioned, now);
			case FleetEvent.LeaveRequested leave -> leave(now);
			case FleetEvent.Drained drained -> fire(LifeEvent.DRAINED, now);
		}
		openStartGate(now);
		evaluateLife(now);
		return this.effects;
	}

	/**
	 * Describes the member for operators.
	 * @param now current monotonic time in milliseconds
	 * @return a consistent view
	 */
	public FleetView view(long now) {
		return new FleetView(this.life.state(), this.topology.role(), text().held().map(ParsedDocument::version),
				text().floor(), this.holdings.vms().held().map(ParsedDocument::version),
				this.life.evidenceAgeMillis(now), text().rejection(),
				this.links.all()
					.stream()
					.map((link) -> new FleetView.PeerView(link.peer(), link.isOutbound(), link.revision(Channel.TEXT)))
					.toList());
	}

	private void detectPause(long now) {
		long gap = now - this.handledAt;
		this.handledAt = now;
		this.heldUpMillis += Math.max(0, gap - HELD_UP_TICKS * this.settings.tickMillis());
		if (gap < this.settings.pauseMillis()) {
			return;
		}
		note(NoteKind.PAUSED, "no event for " + gap + " ms");
		this.links.refresh(now);
		this.platform.reset();
		this.puller.clear();
		fire(LifeEvent.PAUSED, now);
	}

	private void tick(long now) {
		for (Link link : this.links.dropSilent(now, this.settings.silenceMillis(),
				INBOUND_SILENCE_FACTOR * this.settings.silenceMillis())) {
			note(NoteKind.PEER_SUSPECTED, link.peer().vm() + " is silent");
			this.effects.add(new FleetEffect.CloseLink(link.id()));
		}
		evaluateRole(now);
		connect(now);
		callPlatform(now);
		pullIfBehind(now);
		heartbeat(now);
	}

	private void evaluateRole(long now) {
		RoleState former = this.topology.role();
		for (RoleAction action : this.topology.evaluateRole(now)) {
			switch (action) {
				case START_WATCHES, STOP_WATCHES -> this.platform.reset();
				case READ_ONCE -> readOnce();
			}
		}
		if (former != this.topology.role()) {
			note(NoteKind.ROLE_CHANGED, former + " -> " + this.topology.role());
		}
	}

	private void readOnce() {
		for (Channel channel : Channel.values()) {
			this.platform.tryCall(channel, keeper(channel).seenRevision(), 0, this.handledAt)
				.ifPresent(this.effects::add);
		}
	}

	private void connect(long now) {
		this.effects.addAll(this.links.reconcile(this.topology.wanted(!this.startGateOpen, now), now));
	}

	private void callPlatform(long now) {
		if (this.topology.role() != RoleState.READER) {
			return;
		}
		boolean confirming = this.life.state() == LifeState.CONFIRMING;
		watch(Channel.TEXT, confirming ? 0 : this.settings.textWatchMillis(), now);
		watch(Channel.VMS, this.settings.vmsWatchMillis(), now);
	}

	private void watch(Channel channel, long waitMillis, long now) {
		long seen = keeper(channel).seenRevision();
		if (channel == Channel.TEXT && (this.candidate != null || mayRest(now))) {
			return;
		}
		this.platform.tryCall(channel, seen, (seen > 0) ? waitMillis : 0, now).ifPresent(this.effects::add);
	}

	/**
	 * Tells whether the second reader may leave the text to the first: while it learns
	 * from it, or from anybody else, that the platform was asked a short time ago.
	 */
	private boolean mayRest(long now) {
		long age = this.life.evidenceAgeMillis(now);
		return this.topology.isStandby(now) && age >= 0 && age < this.settings.standbyMillis();
	}

	private void served(FleetEvent.PlatformServed served, long now) {
		if (!this.platform.answered(served.channel(), served.sequence())) {
			return;
		}
		if (served.channel() == Channel.VMS) {
			decided(Channel.VMS, served.revision(), this.holdings.offer(served));
		}
		else if (this.startGateOpen) {
			offerText(served, now);
		}
		else {
			this.candidate = served;
		}
		if (this.topology.role() == RoleState.READER) {
			callPlatform(now);
		}
	}

	private void offerText(FleetEvent.PlatformServed served, long now) {
		Optional<Version> former = text().held().map(ParsedDocument::version);
		decided(Channel.TEXT, served.revision(), this.holdings.offer(served));
		this.holdings.baseMismatch(former).ifPresent((detail) -> note(NoteKind.BASE_MISMATCH, detail));
		platformEvidence(served.revision(), now);
	}

	private void unchanged(FleetEvent.PlatformUnchanged unchanged, long now) {
		if (!this.platform.answered(unchanged.channel(), unchanged.sequence())) {
			return;
		}
		if (unchanged.channel() == Channel.TEXT) {
			platformEvidence(unchanged.revision(), now);
		}
		callPlatform(now);
	}

	private void platformEvidence(long revision, long now) {
		if (revision < text().heldRevision()) {
			note(NoteKind.PLATFORM_STALE, "platform has " + revision + ", held is " + text().heldRevision());
			return;
		}
		if (text().held().isPresent()) {
			this.life.evidence(now);
		}
	}

	private void platformFailed(FleetEvent.PlatformFailed failed, long now) {
		if (this.platform.failed(failed.channel(), failed.sequence(), now)) {
			note(NoteKind.PLATFORM_FAILED, "channel " + failed.channel());
		}
	}

	private void linkOpened(FleetEvent.LinkOpened opened, long now) {
		this.links.opened(opened, now);
		if (opened.outbound()) {
			send(opened.link(), new PeerMessage.Query(this.life.nonce()));
		}
	}

	private void linkClosed(FleetEvent.LinkClosed closed, long now) {
		this.links.closed(closed.link(), now)
			.filter(Link::isOutbound)
			.ifPresent((link) -> note(NoteKind.PEER_SUSPECTED, link.peer().vm() + " closed its link"));
		connect(now);
	}

	private void received(FleetEvent.Received received, long now) {
		Optional<Link> link = this.links.link(received.link());
		if (link.isEmpty()) {
			return;
		}
		link.get().touch(now);
		switch (received.message()) {
			case PeerMessage.Status status -> status(link.get(), status, now);
			case PeerMessage.Heartbeat heartbeat -> link.get()
				.status(heartbeat)
				.ifPresentOrElse((status) -> status(link.get(), status, now),
						() -> send(link.get().id(), new PeerMessage.Query(this.life.nonce())));
			case PeerMessage.Query query -> query(link.get(), query, now);
			case PeerMessage.Pull pull -> send(link.get().id(), this.holdings.reply(pull));
			case PeerMessage.BaseUnknown unknown ->
				this.effects.addAll(this.puller.list(unknown.channel(), !this.startGateOpen, now));
			case PeerMessage.Parts parts -> parts(link.get(), parts, now);
		}
	}

	private void status(Link link, PeerMessage.Status status, long now) {
		link.heard(status);
		for (Channel channel : Channel.values()) {
			status.version(channel)
				.flatMap((version) -> keeper(channel).hear(version))
				.ifPresent((problem) -> note(NoteKind.REVISION_CONFLICT, link.peer().vm() + ": " + problem.message()));
		}
		text().hearRejection(status.rejectedRevision());
		if (link.revision(Channel.TEXT) >= text().heldRevision()) {
			this.life.evidence(status, now);
		}
		pullIfBehind(now);
	}

	private void query(Link link, PeerMessage.Query query, long now) {
		if (!this.life.hasFreshEvidence(now)) {
			link.owe(query.nonce());
		}
		tell(link, query.nonce(), now);
	}

	private void parts(Link link, PeerMessage.Parts parts, long now) {
		if (!this.puller.answered(parts.channel()) || parts.version().isEmpty()) {
			return;
		}
		Optional<Document> document = this.holdings.assemble(parts);
		if (document.isEmpty()) {
			note(NoteKind.PARTS_DAMAGED, link.peer().vm() + " sent " + parts.version().get());
			drop(link, now);
			return;
		}
		decided(parts.channel(), document.get().version().revision(), this.holdings.offer(document.get()));
		pullIfBehind(now);
	}

	/**
	 * Closes a link whose peer sent something unusable; its address is tried again later.
	 */
	private void drop(Link link, long now) {
		this.links.closed(link.id(), now);
		this.effects.add(new FleetEffect.CloseLink(link.id()));
		pullIfBehind(now);
	}

	private void decided(Channel channel, long revision, Verdict<?> verdict) {
		switch (verdict) {
			case Verdict.Accepted<?> accepted -> accepted(channel, accepted.checked());
			case Verdict.Unneeded<?> unneeded -> {
				if (unneeded.older()) {
					note(NoteKind.PLATFORM_STALE,
							channel + " " + revision + " is older than " + keeper(channel).floor());
				}
			}
			case Verdict.Rejected<?> rejected -> note(NoteKind.VERSION_REJECTED, channel + " " + revision + ": "
					+ rejected.rejection().problems().stream().findFirst().map(Problem::toString).orElse(""));
			case Verdict.Conflicting<?> conflict -> note(NoteKind.REVISION_CONFLICT, conflict.problem().message());
		}
	}

	private void accepted(Channel channel, ParsedDocument<?> checked) {
		note(NoteKind.VERSION_ACCEPTED, channel + " " + checked.version());
		switch (checked.value()) {
			case Snapshot snapshot -> this.effects.add(new FleetEffect.PublishText(snapshot));
			case VmList list -> {
				this.topology.use(list);
				this.platform.changeRate(this.topology.platformRate(), this.handledAt);
				this.effects.add(new FleetEffect.PublishVms(list));
			}
			default -> throw new IllegalStateException("no channel publishes " + checked.value().getClass());
		}
		for (Link link : this.links.all()) {
			if (link.revision(channel) < checked.version().revision()) {
				tell(link, 0, this.handledAt);
			}
		}
	}

	private void openStartGate(long now) {
		if (this.startGateOpen) {
			return;
		}
		boolean asked = this.holdings.vms().held().isPresent() && this.links.isSettled() && now > this.startedAt;
		if (!asked && now - this.startedAt - this.heldUpMillis < this.settings.startMillis()) {
			return;
		}
		this.startGateOpen = true;
		if (this.candidate != null) {
			offerText(this.candidate, now);
			this.candidate = null;
		}
		pullIfBehind(now);
	}

	private void pullIfBehind(long now) {
		this.effects.addAll(this.puller.pullIfBehind(!this.startGateOpen, now));
	}

	private void heartbeat(long now) {
		for (Link link : this.links.all()) {
			long interval = this.settings.heartbeatMillis() * (link.isOutbound() ? INBOUND_SILENCE_FACTOR : 1);
			if (link.isDue(now, interval)) {
				tell(link, 0, now);
			}
		}
	}

	private void revisionMentioned(FleetEvent.RevisionMentioned mentioned, long now) {
		boolean newer = mentioned.revision() > text().seenRevision();
		if (newer && now - this.mentionedAt >= QUERY_INTERVAL_MILLIS) {
			this.mentionedAt = now;
			note(NoteKind.REVISION_MENTIONED, "somebody uses " + mentioned.revision());
			askPeers();
		}
	}

	private void leave(long now) {
		this.topology.leave();
		fire(LifeEvent.LEAVE, now);
	}

	private void askPeers() {
		this.links.outbound().forEach((link) -> send(link.id(), new PeerMessage.Query(this.life.nonce())));
	}

	private void evaluateLife(long now) {
		if (text().held().isPresent()) {
			fire(LifeEvent.TEXT_HELD, now);
		}
		if (this.life.hasFreshEvidence(now) && !text().isBehind()) {
			fire(LifeEvent.CONFIRMED, now);
			this.links.all().stream().filter(Link::isOwed).forEach((link) -> tell(link, link.takeOwed(), now));
		}
		if (!this.life.hasFreshEvidence(now)) {
			fire(LifeEvent.EVIDENCE_LOST, now);
		}
		if (this.life.isConfirmOverdue(now)) {
			fire(LifeEvent.CONFIRM_TIMEOUT, now);
		}
	}

	private void fire(LifeEvent event, long now) {
		for (LifeAction action : this.life.fire(event, now, nonce())) {
			switch (action) {
				case ASK_PEERS -> {
					askPeers();
					callPlatform(now);
				}
				case TELL_PEERS -> this.links.all().forEach((link) -> tell(link, 0, now));
				case RELEASE_REQUESTS -> {
					// The request path releases waiting requests when the state changes.
				}
			}
		}
		this.life.takeChange().ifPresent((state) -> this.effects.add(new FleetEffect.LifeChanged(state)));
	}

	private void tell(Link link, long nonce, long now) {
		PeerMessage.Status status = new PeerMessage.Status(text().held().map(ParsedDocument::version),
				this.holdings.vms().held().map(ParsedDocument::version), this.life.evidenceAgeMillis(now),
				text().rejection().map(Rejection::revision).orElse(0L), this.life.state().isLeaving(), nonce);
		send(link.id(), link.tell(status, now));
	}

	private VersionKeeper<?> keeper(Channel channel) {
		return this.holdings.keeper(channel);
	}

	private VersionKeeper<Snapshot> text() {
		return this.holdings.text();
	}

	private long nonce() {
		return this.random.nextLong(1, Long.MAX_VALUE);
	}

	private void send(long link, PeerMessage message) {
		this.effects.add(new FleetEffect.Send(link, message));
	}

	private void note(NoteKind kind, String detail) {
		this.effects.add(new FleetEffect.Note(kind, detail));
	}

}
