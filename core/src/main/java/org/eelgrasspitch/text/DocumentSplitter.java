package org.eelgrasspitch.text;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Splits documents into parts and joins parts into documents.
 * <p>
 * A text is split into a header part, which holds all members except the services, and
 * one part for each service in source order. A VM list is split into one part for each
 * failure domain, in alphabetical order. Parts are compact JSON without comments, so that
 * reformatting a document changes no digest. A change to one service therefore transfers
 * at most two small parts (the service and, when {@code base} changed, the header)
 * instead of the whole text.
 * <p>
 * Joining yields a document for the same parsers, so that a node that receives parts
 * validates them exactly like a node that reads from the platform.
 */
final class DocumentSplitter {

	private static final ObjectMapper MAPPER = new ObjectMapper(
			new JsonFactoryBuilder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
				.enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
				.build());

	private static final String HEADER_PART_NAME = "";

	private static final String SERVICES_MEMBER = "services";

	private static final String VMS_MEMBER = "vms";

	private DocumentSplitter() {
	}

	/**
	 * Splits a document that its parser accepted.
	 * @param channel the kind of document
	 * @param content the whole document
	 * @return its parts in order
	 */
	static List<Part> split(Channel channel, byte[] content) {
		try {
			ObjectNode root = (ObjectNode) MAPPER.readTree(content);
			return switch (channel) {
				case TEXT -> splitText(root);
				case VMS -> splitVms(root);
			};
		}
		catch (IOException ex) {
			throw new UncheckedIOException("failed to parse a document that was already accepted", ex);
		}
	}

	/**
	 * Joins parts into one document by concatenating them. The result is not validated
	 * here; it may be malformed if a part is. The VMs of a joined VM list are grouped by
	 * failure domain, whatever their order in the source.
	 * @param document the document, divided into parts
	 * @return the whole document for the channel's parser, in UTF-8; it contains trailing
	 * commas, which the parser allows
	 */
	static byte[] join(Document document) {
		return switch (document.channel()) {
			case TEXT -> joinText(document.parts());
			case VMS -> joinVms(document.parts());
		};
	}

	private static byte[] joinText(List<Part> parts) {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		List<Part> services = new ArrayList<>();
		output.write('{');
		for (Part part : parts) {
			if (!part.name().equals(HEADER_PART_NAME)) {
				services.add(part);
				continue;
			}
			writeWithoutBrackets(part, output);
			output.write(',');
		}
		output.writeBytes(utf8("\"" + SERVICES_MEMBER + "\":["));
		for (Part service : services) {
			output.writeBytes(service.content());
			output.write(',');
		}
		output.writeBytes(utf8("]}"));
		return output.toByteArray();
	}

	private static byte[] joinVms(List<Part> parts) {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		output.writeBytes(utf8("{\"" + VMS_MEMBER + "\":["));
		for (Part part : parts) {
			writeWithoutBrackets(part, output);
			output.write(',');
		}
		output.writeBytes(utf8("]}"));
		return output.toByteArray();
	}

	/**
	 * Writes the content of a part without its outer brackets or braces.
	 */
	private static void writeWithoutBrackets(Part part, ByteArrayOutputStream output) {
		if (part.content().length > 2) {
			output.write(part.content(), 1, part.content().length - 2);
		}
	}

	private static byte[] utf8(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	private static List<Part> splitText(ObjectNode root) throws IOException {
		List<Part> parts = new ArrayList<>();
		JsonNode services = root.remove(SERVICES_MEMBER);
		parts.add(Part.of(HEADER_PART_NAME, MAPPER.writeValueAsBytes(root)));
		for (JsonNode service : services) {
			parts.add(Part.of(service.get("name").textValue(), MAPPER.writeValueAsBytes(service)));
		}
		return parts;
	}

	private static List<Part> splitVms(ObjectNode root) throws IOException {
		Map<String, ArrayNode> vmsByFailureDomain = new TreeMap<>();
		for (JsonNode vm : root.get(VMS_MEMBER)) {
			vmsByFailureDomain.computeIfAbsent(vm.get("failureDomain").textValue(), (name) -> MAPPER.createArrayNode())
				.add(vm);
		}
		List<Part> parts = new ArrayList<>();
		for (Map.Entry<String, ArrayNode> group : vmsByFailureDomain.entrySet()) {
			parts.add(Part.of(group.getKey(), MAPPER.writeValueAsBytes(group.getValue())));
		}
		return parts;
	}

}
