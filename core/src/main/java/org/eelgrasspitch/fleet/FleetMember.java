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
 * State machine of one node in the distribution of the published documents. It takes
 * events and returns effects, and it reads no clock, opens no socket and starts no
 * thread. It is not thread-safe.
 * <p>
 * <b>Distribution.</b> In each failure domain {@link ReaderRanking} selects two readers.
 * The first watches the platform; the second watches the VM list, and the text only when
 * its evidence is not recent. Every node links to the readers of its failure domain, and
 * each reader also to one reader of every other. A node that accepts a version sends its
 * status to peers with an older one, which pull the parts that they lack. A change thus
 * takes two hops, and a failure domain cut off from the platform gets it through others.
 * <p>
 * <b>Version selection</b> is done by {@link VersionStore}. A starting process asks peers
 * for their versions before it accepts a text, because the platform may serve a version
 * older than the one that this node held before its restart.
 * <p>
 * <b>Evidence</b> is the latest time at which the platform is known to have had no
 * acceptable text newer than the one held here or a later one held by a peer. Peers
 * forward it together with its age, so forwarding cannot extend its validity. While it is
 * fresh the node is {@link LifecycleState#SERVING}; otherwise it is
 * {@link LifecycleState#ISOLATED} and serves the text held. A process that was paused
 * discards its evidence and is {@link LifecycleState#CONFIRMING} until the platform or a
 * peer confirms the text in answer to a request sent after the pause, or a timeout
 * expires.
 * <p>
 * Example: a follower with revision 5 is paused for a minute while 6 is published. At the
 * first event after the pause it becomes confirming and queries both readers with a new
 * nonce, which heartbeats buffered during the pause lack. A reader answers with revision
 * 6 and evidence 2 s old. The floor is now 6; the node pulls 6 and is serving.
 */
public final class FleetMember {

	/** Factor on heartbeat interval and silence timeout when the link's opener sends. */
	private static final long REVERSE_HEARTBEAT_FACTOR = 6;

	/** Minimum time between queries caused by mentioned revisions. */
	private static final long MENTION_QUERY_INTERVAL_MILLIS = 1_000;

	/** Number of tick intervals without an event above which time counts as stalled. */
	private static final int STALL_TICKS = 3;

	private final FleetSettings settings;

	private final RandomGenerator random;

	private final DocumentStore documents;

	private final LinkTable links;

	private final Topology topology;

	private final DocumentPuller puller;

	private final PlatformCallScheduler platformCalls;

	private final LifecycleTracker lifecycle;

	/** Text that the platform served before the start gate opened; null if none. */
	private FleetEvent.PlatformServed deferredText;

	/** True once peers answered or the start timeout expired; always when polling. */
	private boolean startGateOpen;

	private final long startedAt;

	/** When the latest event was handled, in monotonic milliseconds. */
	private long lastEventAt;

	/** Time stalled, as in a slow start; does not count towards the start timeout. */
	private long stalledMillis;

	/** When a mentioned revision last caused a query, in monotonic milliseconds. */
	private long mentionQueryAt;

	/** Effects of the event being handled. */
	private List<FleetEffect> effects = new ArrayList<>();

	/**
	 * Creates the member of a process that just started.
	 * @param settings identity, intervals and timeouts
	 * @param random source of randomness
	 * @param now current monotonic time in milliseconds
	 */
	public FleetMember(FleetSettings settings, RandomGenerator random, long now) {
		this.settings = settings;
		this.random = random;
		this.documents = new DocumentStore(settings.distribution());
		this.links = new LinkTable(random);
		this.topology = new Topology(settings, random, this.links, now);
		this.puller = new DocumentPuller(settings, this.documents, this.links);
		this.platformCalls = new PlatformCallScheduler(random, settings.platformCallsPerSecond(), now);
		this.lifecycle = new LifecycleTracker(settings, newNonce());
		this.startedAt = now;
		this.lastEventAt = now;
		this.startGateOpen = settings.distribution() == Distribution.POLL;
	}

	/**
	 * Handles one event.
	 * @param event the event
	 * @param now current monotonic time in milliseconds
	 * @return the effects to apply, in order
	 */
	public List<FleetEffect> handle(FleetEvent event, long now) {
		this.effects = new ArrayList<>();
		detectPause(now);
		switch (event) {
			case FleetEvent.Ticked ticked -> onTick(now);
			case FleetEvent.PlatformServed served -> onPlatformServed(served, now);
			case FleetEvent.PlatformUnchanged unchanged -> onPlatformUnchanged(unchanged, now);
			case FleetEvent.PlatformFailed failed -> onPlatformFailed(failed, now);
			case FleetEvent.LinkOpened opened -> onLinkOpened(opened, now);
			case FleetEvent.LinkFailed failed -> this.links.connectFailed(failed.dialled(), now);
			case FleetEvent.LinkClosed closed -> onLinkClosed(closed, now);
			case FleetEvent.Received received -> onMessage(received, now);
			case FleetEvent.RevisionMentioned mentioned -> onRevisionMentioned(mentioned, now);
			case FleetEvent.LeaveRequested leave -> leave(now);
			case FleetEvent.Drained drained -> fire(LifecycleEvent.DRAINED, now);
		}
		openStartGate(now);
		evaluateLifecycle(now);
		return this.effects;
	}

	/**
	 * Returns the state of the member for status reports.
	 * @param now current monotonic time in milliseconds
	 * @return a consistent view
	 */
	public FleetView view(long now) {
		return new FleetView(this.lifecycle.state(), this.topology.role(), text().held().map(ParsedDocument::version),
				text().floor(), this.documents.vmListVersions().held().map(ParsedDocument::version),
				this.lifecycle.evidenceAgeMillis(now), text().rejection(),
				this.links.all()
					.stream()
					.map((link) -> new FleetView.PeerView(link.peer(), link.isOutbound(), link.revision(Channel.TEXT)))
					.toList());
	}

	private void detectPause(long now) {
		long gap = now - this.lastEventAt;
		this.lastEventAt = now;
		this.stalledMillis += Math.max(0, gap - STALL_TICKS * this.settings.tickMillis());
		if (gap < this.settings.pauseMillis()) {
			return;
		}
		log(EventKind.PAUSED, "no event for " + gap + " ms");
		this.links.resetAfterPause(now);
		this.platformCalls.reset();
		this.puller.clear();
		fire(LifecycleEvent.PAUSED, now);
	}

	private void onTick(long now) {
		for (Link link : this.links.dropSilent(now, this.settings.silenceMillis(),
				REVERSE_HEARTBEAT_FACTOR * this.settings.silenceMillis())) {
			log(EventKind.PEER_SUSPECTED, link.peer().vm() + " has sent nothing within the silence timeout");
			this.effects.add(new FleetEffect.CloseLink(link.id()));
		}
		evaluateRole(now);
		reconcileLinks(now);
		callPlatform(now);
		pullIfBehind(now);
		sendHeartbeats(now);
	}

	private void evaluateRole(long now) {
		RoleState previous = this.topology.role();
		for (RoleAction action : this.topology.evaluateRole(now)) {
			switch (action) {
				case START_WATCHES, STOP_WATCHES -> this.platformCalls.reset();
				case READ_ONCE -> readOnce();
			}
		}
		if (previous != this.topology.role()) {
			log(EventKind.ROLE_CHANGED, previous + " -> " + this.topology.role());
		}
	}

	private void readOnce() {
		for (Channel channel : Channel.values()) {
			this.platformCalls.tryCall(channel, versions(channel).seenRevision(), 0, this.lastEventAt)
				.ifPresent(this.effects::add);
		}
	}

	private void reconcileLinks(long now) {
		this.effects.addAll(this.links.reconcile(this.topology.desiredAddresses(!this.startGateOpen, now), now));
	}

	private void callPlatform(long now) {
		if (this.topology.role() != RoleState.READER) {
			return;
		}
		boolean confirming = this.lifecycle.state() == LifecycleState.CONFIRMING;
		watch(Channel.TEXT, confirming ? 0 : this.settings.textWatchMillis(), now);
		watch(Channel.VMS, this.settings.vmsWatchMillis(), now);
	}

	private void watch(Channel channel, long waitMillis, long now) {
		long seen = versions(channel).seenRevision();
		if (channel == Channel.TEXT && (this.deferredText != null || canSkipTextWatch(now))) {
			return;
		}
		this.platformCalls.tryCall(channel, seen, (seen > 0) ? waitMillis : 0, now).ifPresent(this.effects::add);
	}

	// The second reader skips the text while evidence shows a recent platform answer.
	private boolean canSkipTextWatch(long now) {
		long age = this.lifecycle.evidenceAgeMillis(now);
		return this.topology.isStandby(now) && age >= 0 && age < this.settings.standbyMillis();
	}

	private void onPlatformServed(FleetEvent.PlatformServed served, long now) {
		if (!this.platformCalls.complete(served.channel(), served.sequence())) {
			return;
		}
		if (served.channel() == Channel.VMS) {
			handleOfferResult(Channel.VMS, served.revision(), this.documents.offer(served));
		}
		else if (this.startGateOpen) {
			offerText(served, now);
		}
		else {
			this.deferredText = served;
		}
		if (this.topology.role() == RoleState.READER) {
			callPlatform(now);
		}
	}

	private void offerText(FleetEvent.PlatformServed served, long now) {
		Optional<Version> previous = text().held().map(ParsedDocument::version);
		handleOfferResult(Channel.TEXT, served.revision(), this.documents.offer(served));
		this.documents.baseMismatch(previous).ifPresent((detail) -> log(EventKind.BASE_MISMATCH, detail));
		recordPlatformRevision(served.revision(), now);
	}

	private void onPlatformUnchanged(FleetEvent.PlatformUnchanged unchanged, long now) {
		if (!this.platformCalls.complete(unchanged.channel(), unchanged.sequence())) {
			return;
		}
		if (unchanged.channel() == Channel.TEXT) {
			recordPlatformRevision(unchanged.revision(), now);
		}
		callPlatform(now);
	}

	private void recordPlatformRevision(long revision, long now) {
		if (revision < text().heldRevision()) {
			log(EventKind.PLATFORM_STALE, "platform returned " + revision + ", held is " + text().heldRevision());
			return;
		}
		if (text().held().isPresent()) {
			this.lifecycle.recordEvidence(now);
		}
	}

	private void onPlatformFailed(FleetEvent.PlatformFailed failed, long now) {
		if (this.platformCalls.fail(failed.channel(), failed.sequence(), now)) {
			log(EventKind.PLATFORM_FAILED, "platform call failed for channel " + failed.channel());
		}
	}

	private void onLinkOpened(FleetEvent.LinkOpened opened, long now) {
		this.links.add(opened, now);
		if (opened.outbound()) {
			send(opened.link(), new PeerMessage.Query(this.lifecycle.nonce()));
		}
	}

	private void onLinkClosed(FleetEvent.LinkClosed closed, long now) {
		this.links.remove(closed.link(), now)
			.filter(Link::isOutbound)
			.ifPresent((link) -> log(EventKind.PEER_SUSPECTED, link.peer().vm() + ": link closed"));
		reconcileLinks(now);
	}

	private void onMessage(FleetEvent.Received received, long now) {
		Optional<Link> link = this.links.link(received.link());
		if (link.isEmpty()) {
			return;
		}
		link.get().markReceived(now);
		switch (received.message()) {
			case PeerMessage.Status status -> onStatus(link.get(), status, now);
			case PeerMessage.Heartbeat heartbeat -> link.get()
				.statusFor(heartbeat)
				.ifPresentOrElse((status) -> onStatus(link.get(), status, now),
						() -> send(link.get().id(), new PeerMessage.Query(this.lifecycle.nonce())));
			case PeerMessage.Query query -> onQuery(link.get(), query, now);
			case PeerMessage.Pull pull -> send(link.get().id(), this.documents.reply(pull));
			case PeerMessage.BaseUnknown unknown ->
				this.effects.addAll(this.puller.retryWithPartList(unknown.channel(), !this.startGateOpen, now));
			case PeerMessage.Parts parts -> onParts(link.get(), parts, now);
		}
	}

	private void onStatus(Link link, PeerMessage.Status status, long now) {
		link.updateStatus(status);
		for (Channel channel : Channel.values()) {
			status.version(channel)
				.flatMap((version) -> versions(channel).observe(version))
				.ifPresent((problem) -> log(EventKind.REVISION_CONFLICT, link.peer().vm() + ": " + problem.message()));
		}
		text().observeRejection(status.rejectedRevision());
		if (link.revision(Channel.TEXT) >= text().heldRevision()) {
			this.lifecycle.recordEvidence(status, now);
		}
		pullIfBehind(now);
	}

	private void onQuery(Link link, PeerMessage.Query query, long now) {
		if (!this.lifecycle.hasFreshEvidence(now)) {
			link.setUnconfirmedNonce(query.nonce());
		}
		sendStatus(link, query.nonce(), now);
	}

	private void onParts(Link link, PeerMessage.Parts parts, long now) {
		if (!this.puller.complete(parts.channel()) || parts.version().isEmpty()) {
			return;
		}
		Optional<Document> document = this.documents.assemble(parts);
		if (document.isEmpty()) {
			log(EventKind.PARTS_DAMAGED, link.peer().vm() + " sent unusable parts of " + parts.version().get());
			closeLink(link, now);
			return;
		}
		handleOfferResult(parts.channel(), document.get().version().revision(), this.documents.offer(document.get()));
		pullIfBehind(now);
	}

	// Closes a link whose peer sent invalid data; outbound links reopen after a backoff.
	private void closeLink(Link link, long now) {
		this.links.remove(link.id(), now);
		this.effects.add(new FleetEffect.CloseLink(link.id()));
		pullIfBehind(now);
	}

	private void handleOfferResult(Channel channel, long revision, OfferResult<?> result) {
		switch (result) {
			case OfferResult.Accepted<?> accepted -> publishAccepted(channel, accepted.parsed());
			case OfferResult.NotNewer<?> notNewer -> {
				if (notNewer.older()) {
					log(EventKind.PLATFORM_STALE,
							channel + " " + revision + " is older than known revision " + versions(channel).floor());
				}
			}
			case OfferResult.Rejected<?> rejected -> log(EventKind.VERSION_REJECTED, channel + " " + revision + ": "
					+ rejected.rejection().problems().stream().findFirst().map(Problem::toString).orElse(""));
			case OfferResult.Conflicting<?> conflict -> log(EventKind.REVISION_CONFLICT, conflict.problem().message());
		}
	}

	private void publishAccepted(Channel channel, ParsedDocument<?> parsed) {
		log(EventKind.VERSION_ACCEPTED, channel + " " + parsed.version());
		switch (parsed.value()) {
			case Snapshot snapshot -> this.effects.add(new FleetEffect.PublishText(snapshot));
			case VmList list -> {
				this.topology.update(list);
				this.platformCalls.setRate(this.topology.platformCallsPerSecond(), this.lastEventAt);
				this.effects.add(new FleetEffect.PublishVms(list));
			}
			default -> throw new IllegalStateException("unexpected document type " + parsed.value().getClass());
		}
		for (Link link : this.links.all()) {
			if (link.revision(channel) < parsed.version().revision()) {
				sendStatus(link, 0, this.lastEventAt);
			}
		}
	}

	private void openStartGate(long now) {
		if (this.startGateOpen) {
			return;
		}
		boolean peersAnswered = this.documents.vmListVersions().held().isPresent() && this.links.isSettled()
				&& now > this.startedAt;
		if (!peersAnswered && now - this.startedAt - this.stalledMillis < this.settings.startMillis()) {
			return;
		}
		this.startGateOpen = true;
		if (this.deferredText != null) {
			offerText(this.deferredText, now);
			this.deferredText = null;
		}
		pullIfBehind(now);
	}

	private void pullIfBehind(long now) {
		this.effects.addAll(this.puller.pullIfBehind(!this.startGateOpen, now));
	}

	private void sendHeartbeats(long now) {
		for (Link link : this.links.all()) {
			long interval = this.settings.heartbeatMillis() * (link.isOutbound() ? REVERSE_HEARTBEAT_FACTOR : 1);
			if (link.isStatusDue(now, interval)) {
				sendStatus(link, 0, now);
			}
		}
	}

	private void onRevisionMentioned(FleetEvent.RevisionMentioned mentioned, long now) {
		boolean newer = mentioned.revision() > text().seenRevision();
		if (newer && now - this.mentionQueryAt >= MENTION_QUERY_INTERVAL_MILLIS) {
			this.mentionQueryAt = now;
			log(EventKind.REVISION_MENTIONED, "a message mentioned newer revision " + mentioned.revision());
			askPeers();
		}
	}

	private void leave(long now) {
		this.topology.leave();
		fire(LifecycleEvent.LEAVE, now);
	}

	private void askPeers() {
		this.links.outbound().forEach((link) -> send(link.id(), new PeerMessage.Query(this.lifecycle.nonce())));
	}

	private void evaluateLifecycle(long now) {
		if (text().held().isPresent()) {
			fire(LifecycleEvent.TEXT_HELD, now);
		}
		if (this.lifecycle.hasFreshEvidence(now) && !text().isBehind()) {
			fire(LifecycleEvent.CONFIRMED, now);
			this.links.all()
				.stream()
				.filter(Link::hasUnconfirmedNonce)
				.forEach((link) -> sendStatus(link, link.takeUnconfirmedNonce(), now));
		}
		if (!this.lifecycle.hasFreshEvidence(now)) {
			fire(LifecycleEvent.EVIDENCE_LOST, now);
		}
		if (this.lifecycle.isConfirmOverdue(now)) {
			fire(LifecycleEvent.CONFIRM_TIMEOUT, now);
		}
	}

	private void fire(LifecycleEvent event, long now) {
		for (LifecycleAction action : this.lifecycle.fire(event, now, newNonce())) {
			switch (action) {
				case ASK_PEERS -> {
					askPeers();
					callPlatform(now);
				}
				case TELL_PEERS -> this.links.all().forEach((link) -> sendStatus(link, 0, now));
				case RELEASE_REQUESTS -> {
					// The environment does so after it has applied the effects.
				}
			}
		}
		this.lifecycle.takeChange().ifPresent((state) -> this.effects.add(new FleetEffect.LifecycleChanged(state)));
	}

	private void sendStatus(Link link, long nonce, long now) {
		PeerMessage.Status status = new PeerMessage.Status(text().held().map(ParsedDocument::version),
				this.documents.vmListVersions().held().map(ParsedDocument::version),
				this.lifecycle.evidenceAgeMillis(now), text().rejection().map(Rejection::revision).orElse(0L),
				this.lifecycle.state().isLeaving(), nonce);
		send(link.id(), link.nextStatusMessage(status, now));
	}

	private VersionStore<?> versions(Channel channel) {
		return this.documents.versions(channel);
	}

	private VersionStore<Snapshot> text() {
		return this.documents.textVersions();
	}

	private long newNonce() {
		return this.random.nextLong(1, Long.MAX_VALUE);
	}

	private void send(long link, PeerMessage message) {
		this.effects.add(new FleetEffect.Send(link, message));
	}

	private void log(EventKind kind, String detail) {
		this.effects.add(new FleetEffect.LogEvent(kind, detail));
	}

}
