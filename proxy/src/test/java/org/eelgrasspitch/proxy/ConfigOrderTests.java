package org.eelgrasspitch.proxy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.channel.DefaultEventLoop;
import io.netty.util.concurrent.Future;
import io.vavr.control.Either;
import org.eelgrasspitch.mesh.CallerLimits;
import org.eelgrasspitch.mesh.MeshConfig;
import org.eelgrasspitch.mesh.RouteTable;
import org.eelgrasspitch.mesh.SourceDelta;
import org.eelgrasspitch.mesh.SourceDocument;
import org.eelgrasspitch.mesh.SourceItem;
import org.eelgrasspitch.mesh.SourcePosition;
import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.misc.ErrorType;
import org.eelgrasspitch.misc.Position;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.misc.TimeSource;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Random histories of the operators' document, delivered by readers and peers in random
 * order, repeatedly, in parts, from outdated copies and across restorations of the
 * source. What a node applies never goes back and is never invalid, and the newest valid
 * version that has reached it is in force in the end.
 */
public class ConfigOrderTests {

	private static final long TIMEOUT_SECONDS = 20;

	private static final int SEEDS = 400;

	private static final int MAX_REVISIONS = 40;

	private static final int DELIVERIES = 60;

	private static final String KEY = "op";

	/** Contents that are no valid configuration. */
	private static final List<String> INVALID = List.of("", "{", "r", "-1", "r7", "7!");

	private final DefaultEventLoop control = new DefaultEventLoop();

	@AfterClass(alwaysRun = true)
	public void close() {
		this.control.shutdownGracefully(0, 0, TimeUnit.SECONDS);
	}

	@DataProvider
	Object[][] seeds() {
		Object[][] seeds = new Object[SEEDS][];
		for (int i = 0; i < SEEDS; i++) {
			seeds[i] = new Object[] { (long) i };
		}
		return seeds;
	}

	@Test(dataProvider = "seeds")
	public void versionsNeverGoBackAndTheNewestValidOneIsInForce(long seed) throws Exception {
		History history = new History(new SplittableRandom(seed));
		for (int i = 0; i < DELIVERIES; i++) {
			this.control.submit(history::deliver).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		this.control.submit(history::deliverAll).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		while (history.appliedVersion() < history.newestValid && System.nanoTime() < end) {
			Future<?> decoded = this.control.schedule(() -> {
			}, 1, TimeUnit.MILLISECONDS);
			decoded.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		Assert.assertEquals(history.appliedVersion(), history.newestValid, "applied: " + history.applied);
		for (int i = 1; i < history.applied.size(); i++) {
			Assert.assertTrue(history.applied.get(i) >= history.applied.get(i - 1), "applied: " + history.applied);
		}
	}

	/** One history of the document and a node that learns of it. */
	private final class History {

		private final SplittableRandom random;

		private final RoutingStateKeeper keeper;

		/** Accepts the same deltas as the keeper, to tell what has reached it. */
		private final SourceDocument mirror = new SourceDocument();

		/** Copies of the document that readers and peers hold. */
		private final List<SourceDocument> copies = new ArrayList<>();

		/** Events of the current era, in the order of their revisions. */
		private final List<SourceItem> events = new ArrayList<>();

		/** Added to by the control thread, and read by that of the test. */
		private final List<Long> applied = new CopyOnWriteArrayList<>();

		private long era = 1;

		private long revision;

		private long version;

		private int invalidInARow;

		private long newestValid;

		History(SplittableRandom random) {
			this.random = random;
			this.keeper = new RoutingStateKeeper(ConfigOrderTests.this.control, TimeSource.system(),
					new VersionDecoder(), new DecisionLog("vm-1", TimeSource.system(), LogDetail.OFF, 1),
					this::published, new IdleSource());
			for (int i = 0; i < 3; i++) {
				this.copies.add(new SourceDocument());
			}
			write();
		}

		long appliedVersion() {
			return this.applied.isEmpty() ? 0 : this.applied.getLast();
		}

		private void published(RoutingState state) {
			if (state.config() != null) {
				this.applied.add(state.config().version());
			}
		}

		/** Writes the document, another key, or restores the source from a copy. */
		private void write() {
			this.revision++;
			if (this.random.nextInt(3) == 0) {
				return;
			}
			if (this.random.nextInt(25) == 0) {
				this.era++;
				this.revision = this.random.nextLong(1, this.revision + 1);
				long restored = this.revision;
				this.events.removeIf((event) -> event.revision() > restored);
				this.revision++;
			}
			// At most two in a row, because three of those that wait are kept.
			boolean invalid = this.invalidInARow < 2 && this.random.nextInt(4) == 0;
			this.invalidInARow = invalid ? this.invalidInARow + 1 : 0;
			this.version += this.random.nextLong(1, 4);
			String content = invalid ? INVALID.get(this.random.nextInt(INVALID.size())) : Long.toString(this.version);
			this.events.add(new SourceItem(KEY, content.getBytes(StandardCharsets.UTF_8), this.revision));
		}

		void deliver() {
			for (int i = this.random.nextInt(3); i > 0 && this.revision < MAX_REVISIONS; i--) {
				write();
			}
			SourceDocument copy = this.copies.get(this.random.nextInt(this.copies.size()));
			switch (this.random.nextInt(5)) {
				case 0 -> copy.apply(listing());
				case 1 -> copy.apply(watch(copy.position(), this.random.nextLong(1, this.revision + 1)));
				case 2 -> receive(watch(this.mirror.position(), this.random.nextLong(1, this.revision + 1)), true);
				case 3 -> receive(copy.deltaSince(randomPosition()), false);
				default -> receive(copy.deltaSince(this.mirror.position()), false);
			}
		}

		void deliverAll() {
			if (this.mirror.position().era() != this.era) {
				receive(listing(), true);
			}
			receive(watch(this.mirror.position(), this.revision), true);
			this.copies.forEach((copy) -> receive(copy.deltaSince(this.mirror.position()), false));
		}

		private SourcePosition randomPosition() {
			return new SourcePosition(this.random.nextLong(1, this.era + 1), this.random.nextLong(0, MAX_REVISIONS));
		}

		private SourceDelta listing() {
			List<SourceItem> newest = this.events.isEmpty() ? List.of() : List.of(this.events.getLast());
			return new SourceDelta(this.era, 0, this.revision, newest, List.of());
		}

		/** Returns all events after a position, as a watch does. */
		private SourceDelta watch(SourcePosition from, long to) {
			List<SourceItem> between = this.events.stream()
				.filter((event) -> event.revision() > from.revision() && event.revision() <= to)
				.toList();
			return new SourceDelta(from.hasContent() ? from.era() : this.era, from.revision(),
					Math.max(from.revision(), to), between, List.of());
		}

		private void receive(SourceDelta delta, boolean read) {
			// A watch of a former era is not answered.
			if (read && delta.era() != this.era) {
				return;
			}
			if (this.mirror.apply(delta) != null) {
				delta.items().forEach(this::reached);
			}
			if (read) {
				this.keeper.documentRead(SourceChannel.CONFIG, delta);
			}
			else {
				this.keeper.offer(SourceChannel.CONFIG, delta, "vm-2");
			}
		}

		private void reached(SourceItem item) {
			String text = new String(item.value(), StandardCharsets.UTF_8);
			if (text.matches("[0-9]+")) {
				this.newestValid = Math.max(this.newestValid, Long.parseLong(text));
			}
		}

	}

	/** Reads documents that consist of their version. */
	private static final class VersionDecoder implements DocumentDecoder {

		@Override
		public OptionalLong configVersion(SourceItem item) {
			String text = new String(item.value(), StandardCharsets.UTF_8).replace("!", "");
			return text.matches("[0-9]+") ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
		}

		@Override
		public Either<List<Problem>, MeshConfig> config(SourceItem item) {
			if (!new String(item.value(), StandardCharsets.UTF_8).matches("[0-9]+")) {
				return Either.left(List.of(Problem.of(ErrorType.WRONG_TYPE, Position.UNKNOWN, "version", "a number")));
			}
			return Either.right(new MeshConfig(configVersion(item).getAsLong(), CallerLimits.DEFAULT,
					new RouteTable(List.of()), Map.of()));
		}

		@Override
		public Either<List<Problem>, TargetEntry> target(SourceItem item) {
			throw new UnsupportedOperationException("no targets in this test");
		}

	}

}
