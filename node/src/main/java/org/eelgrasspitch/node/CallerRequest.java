package org.eelgrasspitch.node;

import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.request.Header;
import org.eelgrasspitch.request.Ticket;
import org.eelgrasspitch.text.RouteKey;

/**
 * A caller's request with validated headers.
 *
 * @param requestId the caller's identifier, or a generated one
 * @param route the requested operation
 * @param timeoutMillis maximum time that the caller waits, in milliseconds; empty if not
 * specified
 * @param ticket the ticket sent with the request; empty if none
 * @param firstAttempt true if the caller declares that it has not sent this request
 * before; false if it does not say
 * @param fingerprint identifies the request across resends; empty if it has neither an
 * identifier from the caller nor a body
 * @param knownRevision revision of the configuration text that the caller knows to be in
 * effect; 0 if not specified
 * @param headers headers to forward to the target
 * @param body the whole body; must not be modified after construction
 */
record CallerRequest(String requestId, RouteKey route, Optional<Integer> timeoutMillis, Optional<Ticket> ticket,
		boolean firstAttempt, Optional<Digest> fingerprint, long knownRevision, List<Header> headers, byte[] body) {

}
