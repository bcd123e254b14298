package org.eelgrasspitch.fleet;

import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.text.Channel;
import org.eelgrasspitch.text.Part;
import org.eelgrasspitch.text.PartDelta;
import org.eelgrasspitch.text.Version;

/**
 * Messages between nodes about the published documents.
 */
public sealed interface PeerMessage {

	/**
	 * What the sender holds. Sent at every change, as heartbeat, and as reply to
	 * {@link Query}.
	 *
	 * @param text version of the text held; empty before the first
	 * @param vms version of the VM list held; empty before the first
	 * @param evidenceAgeMillis time since the platform is known to have confirmed the
	 * text, in milliseconds; {@link #NO_EVIDENCE} when it has not
	 * @param rejectedRevision revision of the latest rejected text; 0 when none
	 * @param leaving true when the sender accepts no new work
	 * @param nonce the nonce of the query that this answers; 0 when it answers none
	 */
	record Status(Optional<Version> text, Optional<Version> vms, long evidenceAgeMillis, long rejectedRevision,
			boolean leaving, long nonce) implements PeerMessage {

		/** Value of {@code evidenceAgeMillis} for a sender without evidence. */
		public static final long NO_EVIDENCE = -1;

		/**
		 * Returns this status with another age and as the answer to no query.
		 * @param millis the age
		 * @return the changed status
		 */
		public Status withAge(long millis) {
			return new Status(this.text, this.vms, millis, this.rejectedRevision, this.leaving, 0);
		}

		/**
		 * Returns the version of a document.
		 * @param channel which document
		 * @return the version held, or empty
		 */
		public Optional<Version> version(Channel channel) {
			return (channel == Channel.TEXT) ? this.text : this.vms;
		}

		/**
		 * Returns the revision of a document.
		 * @param channel which document
		 * @return the revision held; 0 before the first
		 */
		public long revision(Channel channel) {
			return version(channel).map(Version::revision).orElse(0L);
		}

	}

	/**
	 * Says that the sender's state is as in the last {@link Status} that it sent over the
	 * same link, but for the age of its evidence. Most heartbeats are of this kind, and a
	 * reader sends one to every node of its failure domain every other second. A receiver
	 * that does not remember such a status asks for it.
	 *
	 * @param evidenceAgeMillis as in {@link Status}
	 * @param textRevision revision of the text in that status; 0 when none
	 * @param vmsRevision revision of the VM list in that status; 0 when none
	 */
	record Heartbeat(long evidenceAgeMillis, long textRevision, long vmsRevision) implements PeerMessage {

	}

	/**
	 * Asks for a {@link Status} that was sent after this question.
	 *
	 * @param nonce to be repeated in the answer; not 0
	 */
	record Query(long nonce) implements PeerMessage {

	}

	/**
	 * Asks for the document that the receiver holds.
	 *
	 * @param channel which document
	 * @param base digest of the document that the sender holds; empty when it holds none,
	 * or when the receiver did not know it
	 * @param held digests of the parts that the sender has already; empty with a base
	 */
	record Pull(Channel channel, Optional<Digest> base, List<Digest> held) implements PeerMessage {

	}

	/**
	 * Answers a {@link Pull}.
	 *
	 * @param channel which document
	 * @param version the version sent; empty when the sender holds none
	 * @param manifest all parts in order
	 * @param parts parts that the receiver lacked
	 * @param deltas further parts that it lacked, as changes of parts that it holds
	 */
	record Parts(Channel channel, Optional<Version> version, List<ManifestEntry> manifest, List<Part> parts,
			List<PartDelta> deltas) implements PeerMessage {

	}

	/**
	 * Answers a {@link Pull} whose base the sender does not know. The receiver asks again
	 * with the digests of its parts.
	 *
	 * @param channel which document
	 */
	record BaseUnknown(Channel channel) implements PeerMessage {

	}

	/**
	 * One step of a manifest.
	 */
	sealed interface ManifestEntry {

		/**
		 * Names a part.
		 *
		 * @param name the part's name
		 * @param digest the part's digest
		 */
		record Named(String name, Digest digest) implements ManifestEntry {

		}

		/**
		 * Takes parts over from the base of the pull.
		 *
		 * @param from index of the first
		 * @param count how many
		 */
		record Kept(int from, int count) implements ManifestEntry {

		}

	}

}
