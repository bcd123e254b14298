package org.eelgrasspitch.fleet;

import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.text.Channel;
import org.eelgrasspitch.text.Part;
import org.eelgrasspitch.text.PartDelta;
import org.eelgrasspitch.text.Version;

/**
 * Messages that nodes exchange to distribute the published documents.
 */
public sealed interface PeerMessage {

	/**
	 * Reports the versions that the sender holds. Sent to peers with an older version
	 * when the sender accepts one, to all peers when it starts to leave, as heartbeat
	 * unless a {@link Heartbeat} suffices, and in reply to a {@link Query}. A reply
	 * without fresh evidence is repeated once the sender has some and knows of no later
	 * text.
	 *
	 * @param text version of the text held; empty before the first
	 * @param vms version of the VM list held; empty before the first
	 * @param evidenceAgeMillis time since the platform last confirmed the text, as far as
	 * the sender knows, in milliseconds; {@link #NO_EVIDENCE} without fresh evidence
	 * @param rejectedRevision revision of the latest rejected text; 0 when there is none
	 * @param leaving true when the sender permanently refuses new requests
	 * @param nonce nonce of the query that this answers; 0 when it answers none
	 */
	record Status(Optional<Version> text, Optional<Version> vms, long evidenceAgeMillis, long rejectedRevision,
			boolean leaving, long nonce) implements PeerMessage {

		/** Value of {@code evidenceAgeMillis} for a sender without fresh evidence. */
		public static final long NO_EVIDENCE = -1;

		/**
		 * Returns this status with another age and with nonce 0.
		 * @param millis age of the evidence in milliseconds
		 * @return the changed status
		 */
		public Status withAge(long millis) {
			return new Status(this.text, this.vms, millis, this.rejectedRevision, this.leaving, 0);
		}

		/**
		 * Returns the version of a document.
		 * @param channel the document
		 * @return the version held, or empty
		 */
		public Optional<Version> version(Channel channel) {
			return (channel == Channel.TEXT) ? this.text : this.vms;
		}

		/**
		 * Returns the revision of a document.
		 * @param channel the document
		 * @return the revision held; 0 before the first
		 */
		public long revision(Channel channel) {
			return version(channel).map(Version::revision).orElse(0L);
		}

	}

	/**
	 * Compact heartbeat: the sender's state equals the last {@link Status} that it sent
	 * over the same link, except for the age of its evidence. The short form saves
	 * bandwidth, because most heartbeats are of this kind and a reader sends one to every
	 * node of its failure domain every 2 seconds. A receiver without a matching status
	 * sends a {@link Query}.
	 *
	 * @param evidenceAgeMillis as in {@link Status}
	 * @param textRevision revision of the text in that status; 0 when it has none
	 * @param vmsRevision revision of the VM list in that status; 0 when it has none
	 */
	record Heartbeat(long evidenceAgeMillis, long textRevision, long vmsRevision) implements PeerMessage {

	}

	/**
	 * Requests a {@link Status} that is sent after this query was received.
	 *
	 * @param nonce number to be repeated in the answer; not 0
	 */
	record Query(long nonce) implements PeerMessage {

	}

	/**
	 * Requests the document that the receiver holds.
	 *
	 * @param channel the document
	 * @param base digest of the document that the sender holds; empty when it holds none,
	 * when the receiver did not know the base, or when the sender's distribution is not
	 * {@link Distribution#DELTAS}
	 * @param held digests of the parts that the sender holds; empty when a base is given
	 * or whole documents are requested
	 */
	record Pull(Channel channel, Optional<Digest> base, List<Digest> held) implements PeerMessage {

	}

	/**
	 * Answers a {@link Pull}.
	 *
	 * @param channel the document
	 * @param version the version sent; empty when the sender holds none
	 * @param manifest entries for all parts in document order
	 * @param parts parts that the receiver lacks, in full
	 * @param deltas parts that the receiver lacks, as deltas against parts that it holds
	 */
	record Parts(Channel channel, Optional<Version> version, List<ManifestEntry> manifest, List<Part> parts,
			List<PartDelta> deltas) implements PeerMessage {

	}

	/**
	 * Answers a {@link Pull} whose base the sender does not know. The receiver retries
	 * with the digests of its parts.
	 *
	 * @param channel the document
	 */
	record BaseUnknown(Channel channel) implements PeerMessage {

	}

	/**
	 * One entry of a manifest.
	 */
	sealed interface ManifestEntry {

		/**
		 * Identifies one part by name and digest.
		 *
		 * @param name the part's name
		 * @param digest the part's digest
		 */
		record Named(String name, Digest digest) implements ManifestEntry {

		}

		/**
		 * Copies a run of parts from the base of the pull.
		 *
		 * @param from index of the first part in the base
		 * @param count number of parts; greater than 0
		 */
		record Kept(int from, int count) implements ManifestEntry {

		}

	}

}
