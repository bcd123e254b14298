package org.eelgrasspitch.testkit.soak;

import java.util.Random;

/**
 * How a target answers one request.
 *
 * @param kind the answer
 * @param trouble what happens while it is written
 * @param copy when the answer is written once more
 * @param statement header field that the answer carries, with its line end; empty for
 * none
 * @param workMillis time until the answer
 * @param bodyBytes length of the body
 * @param framing how the body's end is told
 * @param nestedCalls number of calls through the node of the target's own VM
 */
record Plan(Kind kind, Trouble trouble, Copy copy, String statement, int workMillis, int bodyBytes, Framing framing,
		int nestedCalls) {

	private static final int PERCENT = 100;

	/** Share of the answers that are written twice, in percent. */
	private static final int COPIED_PERCENT = 35;

	/** Share of the answers that break off or stop, in percent. */
	private static final int TROUBLED_PERCENT = 4;

	/**
	 * Draws a plan.
	 * @param random source of the choice
	 * @param mood what the target does at present
	 * @param options which faults are left out
	 * @param mayNest whether the request may make calls of its own
	 * @return the plan
	 */
	static Plan draw(Random random, Mood mood, SoakOptions options, boolean mayNest) {
		Kind kind = mood.draw(random);
		Trouble trouble = (random.nextInt(PERCENT) < TROUBLED_PERCENT)
				? Trouble.values()[random.nextInt(Trouble.values().length)] : Trouble.NONE;
		Copy copy = (random.nextInt(PERCENT) < COPIED_PERCENT) ? Copy.values()[random.nextInt(Copy.values().length)]
				: Copy.NONE;
		if (options.leavesOut(copy)) {
			copy = Copy.NONE;
		}
		int work = (mood == Mood.SLOW) ? 200 + random.nextInt(700) : random.nextInt(60);
		int body = (random.nextInt(PERCENT) < 5) ? random.nextInt(100_000) : random.nextInt(400);
		Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
		if (copy != Copy.NONE && framing == Framing.CLOSE) {
			framing = Framing.LENGTH;
		}
		int nested = (mayNest && kind == Kind.SUCCESS && random.nextInt(PERCENT) < 50) ? 1 + random.nextInt(2) : 0;
		return new Plan(kind, trouble, copy, statement(random), work, body, framing, nested);
	}

	private static String statement(Random random) {
		int dice = random.nextInt(1_500);
		if (dice == 0) {
			return "Server-Leaving: 1\r\n";
		}
		return (dice < 15) ? "Server-Limit: 80\r\n" : "";
	}

	boolean isLeaving() {
		return this.statement.contains("Leaving");
	}

	/**
	 * Kinds of answers.
	 */
	enum Kind {

		/** Status 200. */
		SUCCESS,

		/** Status 500 of a request that ran. */
		FAILURE,

		/** Status 503 of a request that did not run. */
		REFUSAL

	}

	/**
	 * What a target does for some seconds.
	 */
	enum Mood {

		/** Nearly all requests succeed. */
		CALM(95, 3),

		/** More than half of the requests fail. */
		FAILING(40, 55),

		/** More than half of the requests are refused. */
		SHEDDING(40, 5),

		/** Answers take long. */
		SLOW(92, 5);

		private final int successPercent;

		private final int failurePercent;

		Mood(int successPercent, int failurePercent) {
			this.successPercent = successPercent;
			this.failurePercent = failurePercent;
		}

		private Kind draw(Random random) {
			int dice = random.nextInt(PERCENT);
			if (dice < this.successPercent) {
				return Kind.SUCCESS;
			}
			return (dice < this.successPercent + this.failurePercent) ? Kind.FAILURE : Kind.REFUSAL;
		}

	}

	/**
	 * What happens while an answer is written.
	 */
	enum Trouble {

		/** Nothing. */
		NONE,

		/** The connection is reset midway. */
		BREAK_OFF,

		/** The answer stops midway, and the connection stays open. */
		STOP,

		/** The connection ends without an answer. */
		SILENT_END

	}

	/**
	 * When an answer is written for the second time.
	 */
	enum Copy {

		/** Never. */
		NONE,

		/** In the same write. */
		TOGETHER,

		/** Some milliseconds later, usually on an idle connection. */
		IDLE,

		/** While the next request runs on the connection. */
		NEXT,

		/** In one write with the answer to the next request, before it. */
		BEFORE_NEXT,

		/** While one of the requests after the next runs. */
		LATER,

		/** Some milliseconds later, and then the connection ends. */
		CLOSE,

		/** In the same write, cut in its head, and then the connection ends. */
		CUT_CLOSE,

		/** Cut in its head, before the answer to the next request. */
		CUT_NEXT

	}

	/**
	 * How the end of a body is told.
	 */
	enum Framing {

		/** By its length. */
		LENGTH,

		/** In chunks. */
		CHUNKS,

		/** By its length, with the end of the connection announced. */
		LENGTH_CLOSE,

		/** By the end of the connection. */
		CLOSE

	}

}
