package org.eelgrasspitch;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.Reason;
import org.eelgrasspitch.request.RecordTable;
import org.eelgrasspitch.request.Ticket;

/**
 * Runs a test script against a {@link RecordTable} and prints the result of each line.
 * Commands: {@code at MILLIS issue TICKET}, {@code at MILLIS claim TICKET CONTENT},
 * {@code at MILLIS finish TICKET}, {@code at MILLIS unknown TICKET},
 * {@code at MILLIS release TICKET}, {@code at MILLIS outcome TICKET} and
 * {@code at MILLIS restart}, which replaces the table with that of a new process.
 * {@code finish} and {@code unknown} record different final outcomes.
 */
final class RecordTableScript {

	private static final int CAPACITY = 3;

	private final Map<String, Ticket> tickets = new HashMap<>();

	private long incarnation = 1;

	private RecordTable table = create();

	private RecordTableScript() {
	}

	static String run(String script) {
		RecordTableScript interpreter = new RecordTableScript();
		StringBuilder output = new StringBuilder();
		script.strip()
			.lines()
			.forEach((line) -> output.append(line).append(": ").append(interpreter.execute(line)).append('\n'));
		return output.toString();
	}

	private RecordTable create() {
		return new RecordTable("vm", new InetSocketAddress(1), this.incarnation, CAPACITY, new SplittableRandom(1));
	}

	private String execute(String line) {
		String[] words = line.split(" ");
		long now = Long.parseLong(words[1]);
		if (words[2].equals("restart")) {
			this.incarnation++;
			this.table = create();
			return "ok";
		}
		if (words[2].equals("issue")) {
			this.tickets.put(words[3], this.table.issue(1, now).get(0));
			return "ok";
		}
		Ticket ticket = this.tickets.get(words[3]);
		return switch (words[2]) {
			case "claim" -> this.table.claim(ticket, Digest.of(words[4].getBytes(StandardCharsets.UTF_8)), now)
				.toString()
				.replaceAll("headers=.*", "...");
			case "finish" -> finish(ticket, new CallOutcome.Unknown(Reason.CANCELLED));
			case "unknown" -> finish(ticket, new CallOutcome.Unknown(Reason.ANSWER_LOST));
			case "release" -> {
				this.table.release(ticket);
				yield "ok";
			}
			case "outcome" -> this.table.outcome(ticket, now).toString();
			default -> throw new IllegalArgumentException(line);
		};
	}

	private String finish(Ticket ticket, CallOutcome outcome) {
		this.table.finish(ticket, outcome);
		return "ok";
	}

}
