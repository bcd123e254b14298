package org.eelgrasspitch.wire;

import java.io.IOException;

import org.eelgrasspitch.misc.ErrorType;
import org.eelgrasspitch.misc.Position;
import org.eelgrasspitch.misc.Problem;

/**
 * Thrown when a frame cannot be decoded or violates the protocol. Only the connection on
 * which it arrived is closed.
 */
public class MalformedFrameException extends IOException {

	private static final long serialVersionUID = 1L;

	private final transient Problem problem;

	MalformedFrameException(String detail) {
		super(detail);
		this.problem = Problem.of(ErrorType.FRAME_MALFORMED, Position.UNKNOWN, detail);
	}

	/**
	 * Returns the error to report.
	 * @return a problem of type {@link ErrorType#FRAME_MALFORMED} with a detail message
	 */
	public Problem problem() {
		return this.problem;
	}

}
