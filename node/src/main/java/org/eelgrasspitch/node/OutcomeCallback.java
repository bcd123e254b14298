package org.eelgrasspitch.node;

import java.util.function.Consumer;

import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.Reason;

/**
 * Reads the outcome out of a reply.
 *
 * @param reply receives the outcome
 * @param failureReason reason to give when the call failed
 */
record OutcomeCallback(Consumer<CallOutcome> reply, Reason failureReason) implements CallClient.Callback {

	@Override
	public void replied(CallMessage message) {
		if (message instanceof CallMessage.Reply answered) {
			this.reply.accept(answered.outcome());
			return;
		}
		this.reply.accept(new CallOutcome.Unknown(this.failureReason));
	}

	@Override
	public void failed(CallOutcome outcome) {
		this.reply.accept(new CallOutcome.Unknown(this.failureReason));
	}

}
