package org.eelgrasspitch.proxy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

/**
 * Snapshot of a node's state, served as JSON beside the metrics. It is written member by
 * member, because binding records to JSON would load hundreds of classes into a node.
 *
 * @param vm name of the node's VM
 * @param failureDomain failure domain of the node
 * @param configVersion version of the current configuration; 0 before the first
 * @param configRevision revision up to which the configuration is complete
 * @param configAgeMillis time in milliseconds since this node last applied a delta of the
 * configuration, even an empty one; meaningless while {@code configRevision} is 0
 * @param targetsRevision revision up to which the targets are complete
 * @param targetsAgeMillis time in milliseconds since this node last applied a delta of
 * the targets, even an empty one; meaningless while {@code targetsRevision} is 0
 * @param sourceLost whether the source of the documents is unavailable
 * @param links number of open links to peers
 * @param targets state of each target, ordered by service and identifier
 * @param budgets remaining retry budget of each service, ordered by service
 */
public record NodeStateReport(String vm, String failureDomain, long configVersion, long configRevision,
		long configAgeMillis, long targetsRevision, long targetsAgeMillis, boolean sourceLost, int links,
		List<Target> targets, List<Budget> budgets) {

	private static final JsonFactory FACTORY = new JsonFactory();

	/**
	 * Writes this report as JSON.
	 * @return the report in UTF-8
	 */
	byte[] json() {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		try (JsonGenerator json = FACTORY.createGenerator(output)) {
			json.writeStartObject();
			json.writeStringField("vm", this.vm);
			json.writeStringField("failureDomain", this.failureDomain);
			json.writeNumberField("configVersion", this.configVersion);
			json.writeNumberField("configRevision", this.configRevision);
			json.writeNumberField("configAgeMillis", this.configAgeMillis);
			json.writeNumberField("targetsRevision", this.targetsRevision);
			json.writeNumberField("targetsAgeMillis", this.targetsAgeMillis);
			json.writeBooleanField("sourceLost", this.sourceLost);
			json.writeNumberField("links", this.links);
			json.writeArrayFieldStart("targets");
			for (Target target : this.targets) {
				target.write(json);
			}
			json.writeEndArray();
			json.writeArrayFieldStart("budgets");
			for (Budget budget : this.budgets) {
				budget.write(json);
			}
			json.writeEndArray();
			json.writeEndObject();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot write the node state report", ex);
		}
		return output.toByteArray();
	}

	/**
	 * State of a target as seen by the node.
	 *
	 * @param id identifier of the target
	 * @param service name of its service
	 * @param address address on which it listens
	 * @param failureDomain failure domain of the target
	 * @param state one of up, down, leaving, displaced, unlinked; only a target that is
	 * up receives requests
	 * @param reason evidence for the state
	 * @param running number of requests running at the target; 0 if there is no usable
	 * link to its home
	 * @param waiting number of requests waiting at its home; 0 if there is no usable link
	 * to it
	 * @param slots maximum number of requests that it runs concurrently
	 * @param failurePercent moving average of the share of requests that it failed, in
	 * percent; 0 if there is no usable link to its home
	 * @param ageMillis time in milliseconds since the last message from its home; 0 for
	 * the target of this VM, -1 if there is no usable link to the home
	 */
	public record Target(String id, String service, String address, String failureDomain, String state, String reason,
			int running, int waiting, int slots, int failurePercent, long ageMillis) {

		void write(JsonGenerator json) throws IOException {
			json.writeStartObject();
			json.writeStringField("id", this.id);
			json.writeStringField("service", this.service);
			json.writeStringField("address", this.address);
			json.writeStringField("failureDomain", this.failureDomain);
			json.writeStringField("state", this.state);
			json.writeStringField("reason", this.reason);
			json.writeNumberField("running", this.running);
			json.writeNumberField("waiting", this.waiting);
			json.writeNumberField("slots", this.slots);
			json.writeNumberField("failurePercent", this.failurePercent);
			json.writeNumberField("ageMillis", this.ageMillis);
			json.writeEndObject();
		}

	}

	/**
	 * Remaining retry budget of a service at this node.
	 *
	 * @param service name of the service
	 * @param repeatsLeft number of retries currently available
	 */
	public record Budget(String service, int repeatsLeft) {

		void write(JsonGenerator json) throws IOException {
			json.writeStartObject();
			json.writeStringField("service", this.service);
			json.writeNumberField("repeatsLeft", this.repeatsLeft);
			json.writeEndObject();
		}

	}

}
