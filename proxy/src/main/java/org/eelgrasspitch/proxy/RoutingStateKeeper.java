package org.eelgrasspitch.proxy;

import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import io.vavr.control.Either;
import org.apache.thrift.TException;
import org.eelgrasspitch.mesh.MeshConfig;
import org.eelgrasspitch.mesh.PendingConfigs;
import org.eelgrasspitch.mesh.SourceDelta;
import org.eelgrasspitch.mesh.SourceDocument;
import org.eelgrasspitch.mesh.SourceItem;
import org.eelgrasspitch.mesh.SourcePosition;
import org.eelgrasspitch.mesh.SourceReaders.Report;
import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.mesh.TargetRegistry;
import org.eelgrasspitch.misc.ErrorType;
import org.eelgrasspitch.misc.Position;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.misc.TimeSource;
import org.eelgrasspitch.proxy.generated.LinkDocument;
import org.eelgrasspitch.proxy.generated.LinkPackedDocument;

/**
 * Maintains the configuration and the targets from deltas of the source and of peers, and
 * publishes them to the request handling as one immutable {@link RoutingState}. The state
 * is changed only on the control thread.
 * <p>
 * A configuration is decoded completely before it replaces the previous one, and only if
 * its version is newer, so a node never reverts to an older configuration and never
 * applies one partially. Of the versions that arrive before the next one is decoded only
 * the newest is decoded, and decoding takes at most about half of the processor time.
 * <p>
 * The source counts as unavailable while it answers neither this node, if it reads the
 * source, nor any peer of the failure domain that does.
 */
final class RoutingStateKeeper implements SourceListener, DocumentExchange, SourceRole.SourceRoleListener {

	/** Minimum duration of a source outage in which target entries may expire. */
	private static final long MIN_OUTAGE_MILLIS = 800;

	/** Delay of the next attempt to decode a configuration for which memory was short. */
	private static final long DECODE_RETRY_MILLIS = 500;

	private final ScheduledExecutorService control;

	private final TimeSource time;

	private final DocumentDecoder decoder;

	private final DecisionLog log;

	private final Consumer<RoutingState> publisher;

	private final Source source;

	private final Map<SourceChannel, SourceDocument> documents = new EnumMap<>(SourceChannel.class);

	private final TargetRegistry targetRegistry = new TargetRegistry();

	private final long[] lastDeltaAtMillis = new long[SourceChannel.values().length];

	/** Whether the source is unavailable. */
	private volatile boolean sourceLost;

	/**
	 * Monotonic time in milliseconds at which the source became unavailable; meaningless
	 * unless {@link #sourceLost}.
	 */
	private long sourceLostAtMillis;

	/** Whether this node reads the source, and with what result. */
	private Report ownReport = Report.NONE;

	/** What the peers of the failure domain report. */
	private Report nearReport = Report.NONE;

	private final PendingConfigs pendingConfigs = new PendingConfigs();

	/** Monotonic time in milliseconds before which no configuration is decoded. */
	private long nextDecodeAtMillis;

	/** Current configuration; null before the first one is applied. */
	private MeshConfig config;

	RoutingStateKeeper(ScheduledExecutorService control, TimeSource time, DocumentDecoder decoder, DecisionLog log,
			Consumer<RoutingState> publisher, Source source) {
		this.control = control;
		this.time = time;
		this.decoder = decoder;
		this.log = log;
		this.publisher = publisher;
		this.source = source;
		for (SourceChannel channel : SourceChannel.values()) {
			this.documents.put(channel, new SourceDocument());
		}
	}

	/**
	 * Returns whether the source is unavailable. May be called on any thread.
	 * @return true from the loss of the source until its return
	 */
	boolean isSourceLost() {
		return this.sourceLost;
	}

	@Override
	public void documentRead(SourceChannel channel, SourceDelta delta) {
		if (this.ownReport != Report.SERVED) {
			this.ownReport = Report.SERVED;
			updateAvailability("");
			publish();
		}
		apply(channel, delta, "");
	}

	@Override
	public void sourceLost(String reason) {
		this.log.logNodeEvent(LogEvent.SOURCE_READ_FAILED, "reason", reason);
		this.ownReport = Report.UNSERVED;
		updateAvailability(reason);
		publish();
	}

	@Override
	public void sourceReturned(long outageMillis) {
		// The outage of this node and its failure domain is measured here, since peers
		// may
		// have been served meanwhile.
		this.ownReport = Report.SERVED;
		updateAvailability("");
		publish();
	}

	@Override
	public void readingChanged(boolean reading) {
		this.control.execute(() -> {
			this.ownReport = Report.NONE;
			if (reading) {
				this.source
					.resume(Collections.min(List.of(position(SourceChannel.CONFIG), position(SourceChannel.TARGETS))));
			}
			else {
				this.source.pause();
			}
			updateAvailability("");
			publish();
		});
	}

	@Override
	public void nearReportChanged(Report report) {
		this.control.execute(() -> {
			this.nearReport = report;
			updateAvailability("reported by peers");
		});
	}

	private void updateAvailability(String reason) {
		boolean served = this.ownReport == Report.SERVED || this.nearReport == Report.SERVED;
		boolean unserved = this.ownReport == Report.UNSERVED || this.nearReport == Report.UNSERVED;
		if (served && this.sourceLost) {
			handleSourceReturned(this.time.monotonicMillis() - this.sourceLostAtMillis);
		}
		else if (!served && unserved && !this.sourceLost) {
			this.sourceLost = true;
			this.sourceLostAtMillis = this.time.monotonicMillis();
			this.targetRegistry.sourceLost();
			this.log.logNodeEvent(LogEvent.SOURCE_LOST, "reason", reason, "config_revision",
					position(SourceChannel.CONFIG).revision(), "targets_revision",
					position(SourceChannel.TARGETS).revision());
		}
	}

	private void handleSourceReturned(long outageMillis) {
		this.sourceLost = false;
		this.log.logNodeEvent(LogEvent.SOURCE_RETURNED, "absent_ms", outageMillis);
		if (outageMillis < MIN_OUTAGE_MILLIS) {
			this.targetRegistry.sourceReturnedBeforeExpiry();
			return;
		}
		this.targetRegistry.sourceReturned(this.time.monotonicMillis());
		this.control.schedule(this::expireTargets, TargetRegistry.REPUBLISH_GRACE_MILLIS + 1, TimeUnit.MILLISECONDS);
	}

	private void handleSourceRestored(SourceChannel channel, SourcePosition held, SourceDelta delta) {
		this.log.logNodeEvent(LogEvent.SOURCE_RESTORED, "document", channel, "era", delta.era(), "revision", delta.to(),
				"held_era", held.era(), "held_revision", held.revision());
		if (channel == SourceChannel.TARGETS) {
			this.targetRegistry.sourceRestored(this.time.monotonicMillis());
			this.control.schedule(this::expireTargets, TargetRegistry.REPUBLISH_GRACE_MILLIS + 1,
					TimeUnit.MILLISECONDS);
			this.control.schedule(this::expireTargets, TargetRegistry.RESTORED_ENTRY_MILLIS + 1, TimeUnit.MILLISECONDS);
		}
	}

	@Override
	public void deltaSince(SourceChannel channel, SourcePosition held, Consumer<SourceDelta> answer) {
		this.control.execute(() -> answer.accept(this.documents.get(channel).deltaSince(held)));
	}

	@Override
	public void offer(SourceChannel channel, SourceDelta delta, String peer) {
		this.control.execute(() -> {
			SourcePosition held = position(channel);
			if (apply(channel, delta, peer)) {
				this.log.logNodeEvent(LogEvent.PEER_UPDATE, "peer", peer, "document", channel, "from_revision",
						held.revision(), "to_revision", delta.to(), "items", delta.items().size());
				if (this.ownReport != Report.NONE) {
					this.source.refresh();
				}
			}
		});
	}

	@Override
	public void offerPacked(LinkPackedDocument packed, String peer) {
		this.control.execute(() -> {
			try {
				LinkDocument document = LinkFrames.unpack(packed);
				SourceChannel channel = LinkFrames.channelFromWire(document.getDocument());
				offer(channel, LinkFrames.fromWire(document, position(channel).era()), peer);
			}
			catch (TException | IllegalArgumentException ex) {
				this.log.logNodeEvent(LogEvent.PEER_DOCUMENT_REFUSED, "peer", peer, "reason", ex.getMessage());
			}
		});
	}

	private SourcePosition position(SourceChannel channel) {
		return this.documents.get(channel).position();
	}

	/**
	 * Applies a delta.
	 * @param channel the document
	 * @param delta its changes
	 * @param peer name of the peer's VM that sent it; empty if this node has read it
	 * @return false if it changes nothing
	 */
	private boolean apply(SourceChannel channel, SourceDelta delta, String peer) {
		SourcePosition held = position(channel);
		List<String> removed = this.documents.get(channel).apply(delta);
		if (removed == null) {
			return false;
		}
		if (held.hasContent() && delta.era() > held.era()) {
			handleSourceRestored(channel, held, delta);
		}
		long now = this.time.monotonicMillis();
		this.lastDeltaAtMillis[channel.ordinal()] = now;
		switch (channel) {
			case CONFIG -> decodeLater(delta.items(), peer);
			case TARGETS -> applyTargets(delta, removed, now);
		}
		publish();
		return true;
	}

	/**
	 * Queues items for decoding. The document counts them as applied already, so they are
	 * taken from it again if there is no memory for this.
	 */
	private void decodeLater(Collection<SourceItem> items, String peer) {
		try {
			items.forEach((item) -> decodeLater(item, peer));
		}
		catch (OutOfMemoryError ex) {
			deferDecoding(() -> decodeLater(this.documents.get(SourceChannel.CONFIG).items(), peer), ex);
		}
	}

	private void decodeLater(SourceItem item, String peer) {
		OptionalLong version = this.decoder.configVersion(item);
		this.log.logNodeEvent(LogEvent.CONFIG_RECEIVED, "version", version.orElse(0), "revision", item.revision(),
				"peer", peer);
		if (version.isEmpty()) {
			// Decoded at once, because decoding logs what is wrong with it.
			applyConfig(item);
			return;
		}
		if (this.pendingConfigs.isEmpty()) {
			long delayMillis = Math.max(0, this.nextDecodeAtMillis - this.time.monotonicMillis());
			this.control.schedule(this::decodePending, delayMillis, TimeUnit.MILLISECONDS);
		}
		this.pendingConfigs.add(version.getAsLong(), item);
	}

	/**
	 * Applies the newest pending configuration that is valid and drops the others. If
	 * there is no memory to decode it, all wait a little longer.
	 */
	private void decodePending() {
		long startMillis = this.time.monotonicMillis();
		try {
			applyNewestValid();
		}
		catch (OutOfMemoryError ex) {
			deferDecoding(this::decodePending, ex);
			return;
		}
		this.pendingConfigs.clear();
		long endMillis = this.time.monotonicMillis();
		this.nextDecodeAtMillis = endMillis + (endMillis - startMillis);
		publish();
	}

	private void applyNewestValid() {
		boolean valid = false;
		while (!valid && !this.pendingConfigs.isEmpty()) {
			valid = applyConfig(this.pendingConfigs.newest().orElseThrow());
			this.pendingConfigs.pollNewest();
		}
	}

	/**
	 * Repeats a step that needs more memory than there is. It is scheduled first, because
	 * the log line may need memory, too.
	 */
	private void deferDecoding(Runnable step, OutOfMemoryError cause) {
		this.control.schedule(step, DECODE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
		this.log.logNodeEvent(LogEvent.CONFIG_DEFERRED, "pending", !this.pendingConfigs.isEmpty(), "cause", cause);
	}

	/**
	 * Decodes an item. One for which the decoder throws an exception counts as invalid,
	 * so that it does not keep later ones from being decoded.
	 */
	private static <T> Either<List<Problem>, T> decode(SourceItem item,
			Function<SourceItem, Either<List<Problem>, T>> decoder) {
		try {
			return decoder.apply(item);
		}
		catch (RuntimeException ex) {
			return Either.left(List.of(Problem.of(ErrorType.UNREADABLE, Position.UNKNOWN, item.key(), ex)));
		}
	}

	/**
	 * Decodes a configuration and puts it in force if it is newer.
	 * @return false if it is invalid
	 */
	private boolean applyConfig(SourceItem item) {
		long startMillis = this.time.monotonicMillis();
		Either<List<Problem>, MeshConfig> decoded = decode(item, this.decoder::config);
		if (decoded.isLeft()) {
			this.log.logNodeEvent(LogEvent.CONFIG_REFUSED, "revision", item.revision(), "problems",
					decoded.getLeft().size(), "first", decoded.getLeft().getFirst());
			return false;
		}
		MeshConfig newConfig = decoded.get();
		if (this.config != null && newConfig.version() == this.config.version()) {
			return true;
		}
		if (this.config != null && newConfig.version() < this.config.version()) {
			this.log.logNodeEvent(LogEvent.CONFIG_REFUSED, "revision", item.revision(), "version", newConfig.version(),
					"held", this.config.version());
			return true;
		}
		this.config = newConfig;
		this.log.logNodeEvent(LogEvent.CONFIG_APPLIED, "version", newConfig.version(), "revision", item.revision(),
				"routes", newConfig.routes().all().size(), "decode_ms", this.time.monotonicMillis() - startMillis);
		return true;
	}

	private void applyTargets(SourceDelta delta, List<String> removed, long now) {
		for (String id : removed) {
			this.targetRegistry.remove(id, delta.end(), now).ifPresent((entry) -> logRemoved(entry, "removed"));
		}
		if (!removed.isEmpty()) {
			this.control.schedule(this::expireTargets, TargetRegistry.OUTAGE_GRACE_MILLIS + 1, TimeUnit.MILLISECONDS);
		}
		delta.items().forEach((item) -> applyTarget(item, new SourcePosition(delta.era(), item.revision()), now));
	}

	private void applyTarget(SourceItem item, SourcePosition writtenAt, long now) {
		Either<List<Problem>, TargetEntry> decoded = decode(item, this.decoder::target);
		if (decoded.isLeft()) {
			this.log.logNodeEvent(LogEvent.TARGET_IGNORED, "target", item.key(), "revision", item.revision(), "first",
					decoded.getLeft().getFirst());
			this.targetRegistry.remove(item.key(), writtenAt, now)
				.ifPresent((entry) -> logRemoved(entry, "unreadable"));
			this.control.schedule(this::expireTargets, TargetRegistry.OUTAGE_GRACE_MILLIS + 1, TimeUnit.MILLISECONDS);
			return;
		}
		TargetEntry entry = decoded.get();
		if (this.targetRegistry.put(entry, writtenAt)) {
			logPublished(entry, item.revision());
		}
	}

	private void logPublished(TargetEntry entry, long revision) {
		this.log.logNodeEvent(entry.draining() ? LogEvent.TARGET_LEAVING : LogEvent.TARGET_SEEN, "target", entry.id(),
				"service", entry.service(), "address", entry.address(), "slots", entry.slots(), "revision", revision);
	}

	private void logRemoved(TargetEntry entry, String reason) {
		this.log.logNodeEvent(LogEvent.TARGET_GONE, "target", entry.id(), "service", entry.service(), "reason", reason);
	}

	private void expireTargets() {
		List<TargetEntry> dropped = this.targetRegistry.expire(this.time.monotonicMillis());
		dropped.forEach((entry) -> logRemoved(entry, "lapsed"));
		List<TargetEntry> added = this.targetRegistry.addHeldBack(this.time.monotonicMillis());
		added.forEach((entry) -> logPublished(entry, position(SourceChannel.TARGETS).revision()));
		if (!dropped.isEmpty() || !added.isEmpty()) {
			publish();
		}
	}

	private void publish() {
		List<SourcePosition> positions = this.documents.values().stream().map(SourceDocument::position).toList();
		List<SourcePosition> lastChanges = this.documents.values().stream().map(SourceDocument::lastChange).toList();
		this.publisher.accept(new RoutingState(this.config, this.targetRegistry.directory(),
				position(SourceChannel.TARGETS).hasContent(), positions, lastChanges, this.lastDeltaAtMillis.clone(),
				this.ownReport));
	}

}
