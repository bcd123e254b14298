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
 * Divides documents into parts and joins parts into documents again.
 * <p>
 * A text becomes a header part, with everything except the services, and one part for
 * each service in the order written. A VM list becomes one part for each failure domain,
 * in alphabetical order. Each part is compact JSON without comments, so that reformatting
 * the text changes no digest. A change to one service thus moves two small parts (the
 * service and, when {@code base} changed, the header) instead of the whole text.
 * <p>
 * Joining yields a document that the ordinary parsers read, so a node that received parts
 * checks them exactly as a node that read the platform.
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
	 * Divides a document that its parser accepted.
	 * @param channel which document
	 * @param content the whole document
	 * @return its parts
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
			throw new UncheckedIOException("an accepted document no longer parses", ex);
		}
	}

	/**
	 * Joins parts into one document by writing them one after the other. Whether the
	 * result is a document is for its parser to say.
	 * @param document the document in parts
	 * @return the whole document for the channel's parser
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
	 * Writes a part without the brackets around it.
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
