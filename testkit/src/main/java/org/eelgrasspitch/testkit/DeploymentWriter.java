package org.eelgrasspitch.testkit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Generates deployments of any size for tests and measurements. VM {@code n} of failure
 * domain {@code d} has the address {@code 127.octet.d.n}; the platform has
 * {@code 127.octet.0.1}. A relayed deployment advertises {@code 127.(octet+1).d.n}, where
 * a {@link LinkSwitch} listens and forwards.
 *
 * @param octet second octet of all addresses, so that deployments do not share addresses
 * @param failureDomains names of the failure domains
 * @param services names of the services, assigned in turn to groups of one VM for each
 * failure domain
 * @param nodes number of VMs
 * @param relayed whether nodes advertise relay addresses
 * @param extraSettings further members of each settings file, for example
 * {@code "pauseMillis": 500}; may be empty
 */
public record DeploymentWriter(int octet, List<String> failureDomains, List<String> services, int nodes,
		boolean relayed, String extraSettings) {

	/** Slots of every service except the first. */
	public static final int DEFAULT_SLOTS = 10;

	private static final long NAME_SEED = 42;

	private static final int MAX_SEEDS = 3;

	/**
	 * Writes the text, the VM list and the settings of every node.
	 * @param directory an empty directory; created when missing
	 * @param text the operators' text
	 * @return the deployment, as read back from the files
	 * @throws UncheckedIOException if a file cannot be written or read
	 */
	public Deployment write(Path directory, byte[] text) {
		try {
			Files.createDirectories(directory.resolve("nodes"));
			Files.write(directory.resolve("text.jsonc"), text);
			Files.writeString(directory.resolve("vms.jsonc"), vms(this.nodes));
			for (int index = 0; index < this.nodes; index++) {
				Files.writeString(directory.resolve("nodes").resolve(name(index) + ".jsonc"), settings(index));
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return Deployment.read(directory);
	}

	/**
	 * Returns a VM list in which all VMs are live.
	 * @param count number of VMs to list, from the first
	 * @return the list as JSON
	 */
	public String vms(int count) {
		List<String> lines = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			lines.add("""
					{"name": "%s", "failureDomain": "%s", "service": "%s", "address": "%s:7400", "state": "live"}"""
				.formatted(name(index), failureDomain(index), service(index), advertised(index)));
		}
		return "{\"vms\": [\n" + String.join(",\n", lines) + "\n]}\n";
	}

	/**
	 * Returns an operators' text in which every service has an idempotent operation
	 * {@code read}, an at-most-once operation {@code pay} and optional further ones.
	 * @param slots slots of the first service; the others have {@link #DEFAULT_SLOTS}
	 * @param padding length of the random part of each further operation's name
	 * @param operations number of further operations of each service
	 * @return the text as JSON in UTF-8
	 */
	public byte[] text(int slots, int padding, int operations) {
		List<String> lines = new ArrayList<>();
		SplittableRandom random = new SplittableRandom(NAME_SEED);
		for (String service : this.services) {
			StringBuilder extra = new StringBuilder();
			for (int index = 0; index < operations; index++) {
				extra.append(",{\"name\": \"%s%d\", \"kind\": \"idempotent\", \"deadlineMillis\": 3000}"
					.formatted(randomWord(random, padding), index));
			}
			lines.add("""
					{"name": "%s", "slots": %d, "connections": 100, "operations": [
					 {"name": "read", "kind": "idempotent", "deadlineMillis": 3000},
					 {"name": "pay", "kind": "at-most-once", "priority": "transaction", "deadlineMillis": 5000,
					  "lateAfterMillis": 1000}%s]}""".formatted(service, lines.isEmpty() ? slots : DEFAULT_SLOTS,
					extra));
		}
		return "{\"mesh\": \"test\", \"failureDomains\": %s, \"services\": [\n%s\n]}\n"
			.formatted(Json.write(this.failureDomains), String.join(",\n", lines))
			.getBytes(StandardCharsets.UTF_8);
	}

	private static String randomWord(SplittableRandom random, int length) {
		StringBuilder word = new StringBuilder();
		for (int index = 0; index < length; index++) {
			word.append((char) ('a' + random.nextInt(26)));
		}
		return word.toString();
	}

	private String settings(int index) {
		List<String> seeds = new ArrayList<>();
		int domains = this.failureDomains.size();
		for (int other = index % domains; other < this.nodes && seeds.size() < MAX_SEEDS - 1; other += domains) {
			if (other != index) {
				seeds.add(advertised(other) + ":7400");
			}
		}
		seeds.add(advertised((index + 1) % this.nodes) + ":7400");
		String ip = ip(index, this.octet);
		return """
				{"vm": "%s", "failureDomain": "%s", "service": "%s", "peerAddress": "%s:7400",
				 "advertisedAddress": "%s:7400", "callerAddress": "%s:7401", "operatorAddress": "%s:7402",
				 "targetAddress": "%s:7403", "platformUrl": "http://127.%d.0.1:7000", "seeds": %s%s}
				""".formatted(name(index), failureDomain(index), service(index), ip, advertised(index), ip, ip, ip,
				this.octet, Json.write(seeds), this.extraSettings.isEmpty() ? "" : ", " + this.extraSettings);
	}

	private String name(int index) {
		return "vm-%03d".formatted(index + 1);
	}

	private String failureDomain(int index) {
		return this.failureDomains.get(index % this.failureDomains.size());
	}

	private String service(int index) {
		return this.services.get((index / this.failureDomains.size()) % this.services.size());
	}

	private String advertised(int index) {
		return ip(index, this.relayed ? this.octet + 1 : this.octet);
	}

	private String ip(int index, int secondOctet) {
		int domain = index % this.failureDomains.size() + 1;
		int number = index / this.failureDomains.size() + 1;
		return "127.%d.%d.%d".formatted(secondOctet, domain, number);
	}

}
