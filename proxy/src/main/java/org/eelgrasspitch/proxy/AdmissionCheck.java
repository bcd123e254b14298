package org.eelgrasspitch.proxy;

import java.util.Optional;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.eelgrasspitch.mesh.MeshRoute;

/**
 * Result of the check whether a request is admitted.
 */
sealed interface AdmissionCheck {

	/**
	 * Checks a request by its head.
	 * @param entry the entry node's state
	 * @param request the request
	 * @return the result
	 */
	static AdmissionCheck of(EntryService entry, CallerRequest request) {
		if (request.errorStatus().isPresent()) {
			return new Refused(request.errorStatus().get(), "malformed");
		}
		Optional<String> unavailableReason = entry.unavailableReason();
		if (unavailableReason.isPresent()) {
			return new Unavailable(unavailableReason.get());
		}
		Optional<MeshRoute> found = entry.state().config().routes().find(request.host(), request.uri());
		if (found.isEmpty()) {
			return new Refused(HttpResponseStatus.NOT_FOUND, "no route");
		}
		if (request.bodyLength() > entry.limits().maxBodyBytes()) {
			return new Refused(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too long");
		}
		return new Passed(found.get());
	}

	/**
	 * The request is admitted.
	 *
	 * @param route its route
	 */
	record Passed(MeshRoute route) implements AdmissionCheck {

	}

	/**
	 * The request will not be admitted by any node.
	 *
	 * @param status status of the answer
	 * @param reason the reason as logged
	 */
	record Refused(HttpResponseStatus status, String reason) implements AdmissionCheck {

	}

	/**
	 * No request is served at present.
	 *
	 * @param reason the reason as logged
	 */
	record Unavailable(String reason) implements AdmissionCheck {

	}

}
