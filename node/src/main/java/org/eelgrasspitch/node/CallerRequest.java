package org.eelgrasspitch.node;

import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.request.Header;
import org.eelgrasspitch.request.Ticket;
import org.eelgrasspitch.text.RouteKey;

/**
 * A caller's request after its headers were checked.
 *
 * @param requestId the caller's identifier, or one made up for it
 * @param route what the caller asks for
 * @param timeoutMillis longest time that the caller waits, in milliseconds; empty when it
 * did not say
 * @param ticket the ticket it carries; empty when none
 * @param firstAttempt true when the caller declares that it never sent this request
 * before
 * @param fingerprint recognises the request when it is sent again; empty when nothing in
 * it can
 * @param knownRevision revision of the text that the caller has seen in force; 0 when it
 * did not say
 * @param headers headers for the target
 * @param body the whole body; not modified after construction
 */
record CallerRequest(String requestId, RouteKey route, Optional<Integer> timeoutMillis, Optional<Ticket> ticket,
		boolean firstAttempt, Optional<Digest> fingerprint, long knownRevision, List<Header> headers, byte[] body) {

}
