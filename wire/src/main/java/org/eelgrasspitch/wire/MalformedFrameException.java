package org.eelgrasspitch.wire;

import java.io.IOException;

import org.eelgrasspitch.misc.ErrorType;
import org.eelgrasspitch.misc.Position;
import org.eelgrasspitch.misc.Problem;

/**
 * A frame that does not decode. It closes the connection it came on and nothing else.
 */
public class MalformedFrameException extends IOException {

	private static final long serialVersionUID = 1L;

	private final transient Problem problem;

	MalformedFrameException(String detail) {
		super(detail);
		this.problem = Problem.of(ErrorType.FRAME_MALFORMED, Position.UNKNOWN, detail);
	}

	/**
	 * Returns the typed error.
	 * @return the error with its detail
	 */
	public Problem problem() {
		return this.problem;
	}

}
