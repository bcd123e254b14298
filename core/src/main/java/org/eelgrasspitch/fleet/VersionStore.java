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
 * Decides which version of one document a process holds.
 * <p>
 * Versions are ordered by the platform's revision alone. The rules:
 * <ol>
 * <li>A version is held only if its revision is above the one held, and not below the
 * floor: the highest revision that any peer said it holds. So a process never moves back,
 * and a process that just started does not begin with a version that its peers have left
 * behind.</li>
 * <li>Whether content is acceptable depends on the content alone. All processes therefore
 * accept the same versions, even when some missed the ones between.</li>
 * <li>A version with errors changes nothing.</li>
 * <li>The revision held with other content is reported, and what is held stays.</li>
 * </ol>
 * Worked case: held 5; a peer says it holds 7 (floor 7); the platform, stale, serves 6:
 * not taken. The peer serves 7: taken. The platform later serves 8 with an error: 7
 * stays, and 8 is on record as rejected.
 *
 * @param <T> type of the parsed value
 */
public final class VersionStore<T> {

	/** What is held; null until the first version was accepted. */
	private ParsedDocument<T> held;

	/**
	 * Highest revision that is held here or that a peer said it holds; 0 when unknown.
	 */
	private long floor;

	/** The latest rejected version; null when none was. */
	private Rejection rejection;

	/**
	 * Returns what is held.
	 * @return the document and its value, or empty before the first one
	 */
	public Optional<ParsedDocument<T>> held() {
		return Optional.ofNullable(this.held);
	}

	/**
	 * Returns the revision held.
	 * @return the revision, or 0 before the first one
	 */
	public long heldRevision() {
		return (this.held != null) ? this.held.version().revision() : 0;
	}

	/**
	 * Returns the floor.
	 * @return the highest revision known to be held anywhere, or 0
	 */
	public long floor() {
		return this.floor;
	}

	/**
	 * Returns the latest rejection.
	 * @return the rejection, or empty when it was superseded or none happened
	 */
	public Optional<Rejection> rejection() {
		return Optional.ofNullable(this.rejection);
	}

	/**
	 * Returns the highest revision seen in any way.
	 * @return the revision from which a watch must go on
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
	 * Takes note of a version that a peer holds.
	 * @param version the peer's version
	 * @return a problem when the peer holds other content under the held revision
	 */
	public Optional<Problem> observe(Version version) {
		this.floor = Math.max(this.floor, version.revision());
		if (this.held == null || version.revision() != heldRevision()) {
			return Optional.empty();
		}
		return conflict(version);
	}

	/**
	 * Takes note of a rejection that a peer reported.
	 * @param revision the rejected revision
	 */
	public void observeRejection(long revision) {
		if (revision > seenRevision()) {
			this.rejection = new Rejection(revision, List.of());
		}
	}

	/**
	 * Decides about a version.
	 * @param revision the version's revision
	 * @param parse parses the content; called only when the revision is wanted
	 * @return the decision
	 */
	public OfferResult<T> offer(long revision, Supplier<Either<List<Problem>, ParsedDocument<T>>> parse) {
		if (revision < Math.max(heldRevision(), this.floor)) {
			return new OfferResult.NotNewer<>(true);
		}
		Either<List<Problem>, ParsedDocument<T>> parsed = parse.get();
		if (parsed.isLeft()) {
			return reject(revision, parsed.getLeft());
		}
		ParsedDocument<T> checked = parsed.get();
		if (revision == heldRevision()) {
			Optional<Problem> conflict = conflict(checked.version());
			return conflict.<OfferResult<T>>map(OfferResult.Conflicting::new)
				.orElseGet(() -> new OfferResult.NotNewer<>(false));
		}
		return accept(checked);
	}

	private OfferResult<T> accept(ParsedDocument<T> checked) {
		this.held = checked;
		this.floor = Math.max(this.floor, checked.version().revision());
		if (this.rejection != null && this.rejection.revision() <= this.floor) {
			this.rejection = null;
		}
		return new OfferResult.Accepted<>(checked);
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
