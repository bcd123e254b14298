package org.eelgrasspitch.proxy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

/**
 * What a node believes at one moment. It is served as JSON beside the metrics, written
 * member by member: binding records to JSON would load hundreds of classes into a node.
 *
 * @param vm name of its VM
 * @param failureDomain its failure domain
 * @param configVersion version of the configuration in force; 0 before the first
 * @param configRevision revision up to which the configuration is known
 * @param configAgeMillis time since it last changed here
 * @param targetsRevision revision up to which the targets are known
 * @param targetsAgeMillis time since they last changed here
 * @param sourceLost whether the source of documents does not answer at present
 * @param links open links to peers
 * @param targets what is believed of each target, in the order of services
 * @param budgets what is left of the budget of repeats, by service
 */
public record NodeStateReport(String vm, String failureDomain, long configVersion, long configRevision,
		long configAgeMillis, long targetsRevision, long targetsAgeMillis, boolean sourceLost, int links,
		List<Target> targets, List<Budget> budgets) {

	private static final JsonFactory FACTORY = new JsonFactory();

	/**
	 * Writes the report.
	 * @return the report as JSON in UTF-8
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
			throw new UncheckedIOException("writing to memory failed", ex);
		}
		return output.toByteArray();
	}

	/**
	 * What is believed of a target.
	 *
	 * @param id its identifier
	 * @param service its service
	 * @param address where it listens
	 * @param failureDomain its failure domain
	 * @param state whether it gets requests: up, down, leaving, displaced, unlinked
	 * @param reason what that is based on
	 * @param running requests that run there
	 * @param waiting requests that wait at its home
	 * @param slots requests that it runs at a time
	 * @param failurePercent smoothed share of requests that it failed
	 * @param ageMillis time since its home said so; -1 when it never did
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
	 * What is left of a service's budget of repeats at this node.
	 *
	 * @param service the service
	 * @param repeatsLeft repeats that could be made now
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
