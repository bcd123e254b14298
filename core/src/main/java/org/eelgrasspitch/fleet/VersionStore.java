package org.eelgrasspitch.fleet;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.eelgrasspitch.misc.ErrorType;
import org.eelgrasspitch.misc.Position;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.text.ParsedDocument;
import org.eelgrasspitch.text.Version;

/**
 * Holds the current version of one document and decides whether offered versions replace
 * it.
 * <p>
 * Versions are ordered by the platform's revision alone. The rules:
 * <ol>
 * <li>A version is accepted only if its revision is above the one held and not below the
 * floor, the highest revision that any peer reported as held. A process therefore never
 * returns to an older version, and a starting process does not accept one that its peers
 * have already replaced.</li>
 * <li>Validity depends on the content alone. All processes therefore accept the same
 * versions, even if some missed intermediate ones.</li>
 * <li>A version with errors does not replace the one held; its rejection is
 * recorded.</li>
 * <li>Other valid content under the revision held is reported as a conflict and not
 * accepted; content with errors is rejected.</li>
 * </ol>
 * Example: revision 5 is held and a peer reports 7, so the floor is 7. The platform is
 * stale and serves 6, which is not accepted. The peer serves 7, which is accepted. The
 * platform later serves 8 with an error: 7 stays in use, and 8 is recorded as rejected.
 *
 * @param <T> type of the parsed value
 */
public final class VersionStore<T> {

	/** The version held; null until the first one was accepted. */
	private ParsedDocument<T> held;

	/**
	 * Highest revision that is held here or was reported by a peer as held; 0 when
	 * unknown.
	 */
	private long floor;

	/**
	 * The latest rejected version; null when there is none or a later one was accepted.
	 */
	private Rejection rejection;

	/**
	 * Returns the document held and its parsed value.
	 * @return the document and its value, or empty before the first was accepted
	 */
	public Optional<ParsedDocument<T>> held() {
		return Optional.ofNullable(this.held);
	}

	/**
	 * Returns the revision held.
	 * @return the revision, or 0 before the first was accepted
	 */
	public long heldRevision() {
		return (this.held != null) ? this.held.version().revision() : 0;
	}

	/**
	 * Returns the floor.
	 * @return the highest revision known to be held by any node, or 0 when unknown
	 */
	public long floor() {
		return this.floor;
	}

	/**
	 * Returns the latest rejection.
	 * @return the rejection, or empty when there is none or a later version was accepted
	 */
	public Optional<Rejection> rejection() {
		return Optional.ofNullable(this.rejection);
	}

	/**
	 * Returns the highest revision that was accepted or rejected.
	 * @return the revision after which a watch must continue; 0 when there is none
	 */
	public long seenRevision() {
		return Math.max(heldRevision(), (this.rejection != null) ? this.rejection.revision() : 0);
	}

	/**
	 * Tells whether a peer is known to hold a later version.
	 * @return true when the floor is above what is held
	 */
	public boolean isBehind() {
		return this.floor > heldRevision();
	}

	/**
	 * Records a version that a peer holds.
	 * @param version the peer's version
	 * @return a problem when the peer holds different content under the revision held
	 * here; else empty
	 */
	public Optional<Problem> observe(Version version) {
		this.floor = Math.max(this.floor, version.revision());
		if (this.held == null || version.revision() != heldRevision()) {
			return Optional.empty();
		}
		return conflict(version);
	}

	/**
	 * Records a rejection that a peer reported, if its revision is higher than any seen
	 * here.
	 * @param revision the rejected revision
	 */
	public void observeRejection(long revision) {
		if (revision > seenRevision()) {
			this.rejection = new Rejection(revision, List.of());
		}
	}

	/**
	 * Offers a version and accepts it if the rules permit.
	 * @param revision the version's revision
	 * @param parse parses and checks the content; not called when the revision is too old
	 * @return the result
	 */
	public OfferResult<T> offer(long revision, Supplier<Either<List<Problem>, ParsedDocument<T>>> parse) {
		if (revision < Math.max(heldRevision(), this.floor)) {
			return new OfferResult.NotNewer<>(true);
		}
		Either<List<Problem>, ParsedDocument<T>> result = parse.get();
		if (result.isLeft()) {
			return reject(revision, result.getLeft());
		}
		ParsedDocument<T> parsed = result.get();
		if (revision == heldRevision()) {
			Optional<Problem> conflict = conflict(parsed.version());
			return conflict.<OfferResult<T>>map(OfferResult.Conflicting::new)
				.orElseGet(() -> new OfferResult.NotNewer<>(false));
		}
		return accept(parsed);
	}

	private OfferResult<T> accept(ParsedDocument<T> parsed) {
		this.held = parsed;
		this.floor = Math.max(this.floor, parsed.version().revision());
		if (this.rejection != null && this.rejection.revision() <= this.floor) {
			this.rejection = null;
		}
		return new OfferResult.Accepted<>(parsed);
	}

	private OfferResult<T> reject(long revision, List<Problem> problems) {
		Rejection latest = new Rejection(revision, problems);
		if (revision >= seenRevision()) {
			this.rejection = latest;
		}
		return new OfferResult.Rejected<>(latest);
	}

	private Optional<Problem> conflict(Version version) {
		if (version.digest().equals(this.held.version().digest())) {
			return Optional.empty();
		}
		return Optional.of(Problem.of(ErrorType.REVISION_CONFLICT, Position.UNKNOWN, version.revision(),
				this.held.version().digest(), version.digest()));
	}

}
