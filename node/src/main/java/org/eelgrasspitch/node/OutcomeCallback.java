package org.eelgrasspitch.node;

import java.util.function.Consumer;

import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.Reason;

/**
 * Extracts the outcome from a reply.
 *
 * @param reply receives the outcome
 * @param failureReason reason of the unknown outcome if the call failed or the reply has
 * another type
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
