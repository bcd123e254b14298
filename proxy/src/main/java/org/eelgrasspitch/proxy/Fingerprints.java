package org.eelgrasspitch.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import org.eelgrasspitch.misc.Digest;

/**
 * Computes the values by which requests that crash targets are recognised.
 */
final class Fingerprints {

	private Fingerprints() {
	}

	/**
	 * Returns a fingerprint that is equal when the same request arrives again, at any
	 * node.
	 * @param method its method
	 * @param host value of its Host field
	 * @param uri its path and query
	 * @param callerService name of the service on the VM where it began
	 * @param body its complete body
	 * @return the fingerprint
	 */
	static Digest of(String method, String host, String uri, String callerService, byte[] body) {
		ByteArrayOutputStream content = new ByteArrayOutputStream();
		content.writeBytes((method + ' ' + host + uri + ' ' + callerService + '\n').getBytes(StandardCharsets.UTF_8));
		content.writeBytes(body);
		return Digest.of(content.toByteArray());
	}

}
