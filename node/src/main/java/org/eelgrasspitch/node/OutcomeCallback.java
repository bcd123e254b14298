package org.eelgrasspitch.node;

import java.util.function.Consumer;

import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.Reason;

/**
 * Extracts the outcome from a reply.
 *
 * @param callback receives the outcome
 * @param failureReason reason of the unknown outcome if the call failed or the reply has
 * another type
 */
record OutcomeCallback(Consumer<CallOutcome> callback, Reason failureReason) implements CallClient.Callback {

	@Override
	public void replied(CallMessage message) {
		if (message instanceof CallMessage.Reply answered) {
			this.callback.accept(answered.outcome());
			return;
		}
		this.callback.accept(new CallOutcome.Unknown(this.failureReason));
	}

	@Override
	public void failed(CallOutcome outcome) {
		this.callback.accept(new CallOutcome.Unknown(this.failureReason));
	}

}
