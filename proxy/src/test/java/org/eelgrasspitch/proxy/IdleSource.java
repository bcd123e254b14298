package org.eelgrasspitch.proxy;

import org.eelgrasspitch.mesh.SourcePosition;

/**
 * A source that reads nothing and reports nothing.
 */
final class IdleSource implements Source {

	@Override
	public void start(SourceListener listener) {
		// The test calls the listener, if any document is to be read.
	}

	@Override
	public void refresh() {
		// There is nothing to read.
	}

	@Override
	public void pause() {
		// It never reads.
	}

	@Override
	public void resume(SourcePosition position) {
		// It never reads.
	}

}
