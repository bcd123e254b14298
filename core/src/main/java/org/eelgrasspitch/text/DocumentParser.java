package org.eelgrasspitch.text;

import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.eelgrasspitch.misc.DocumentReader;
import org.eelgrasspitch.misc.LocatedNodeReader;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.misc.ProblemListener;

/**
 * Entry point of the pipeline that turns bytes into parsed documents: read JSON, parse
 * and validate, split into parts, and index for lookup. The stages run in this order and
 * report to the same listener. The result depends only on the arguments.
 * <p>
 * Nodes use {@link #parseText(long, byte[])} and {@link #parseVmList(long, byte[])} on
 * what the platform served, and {@link #parseText(Document)} and
 * {@link #parseVmList(Document)} on parts that other nodes served, which go through the
 * same checks; the command line uses {@link #parseText(byte[], ProblemListener)}.
 */
public final class DocumentParser {

	/** Maximum document length; the platform limits values to one megabyte. */
	public static final int MAX_DOCUMENT_BYTES = 1_000_000;

	private DocumentParser() {
	}

	/**
	 * Parses a text and reports all problems.
	 * @param content the document, JSON with comments in UTF-8
	 * @param listener receives the problems
	 * @return the text, or empty when it could not be read as a JSON object; the caller
	 * must discard it when an error was reported
	 */
	public static Optional<MeshText> parseText(byte[] content, ProblemListener listener) {
		return new LocatedNodeReader(MAX_DOCUMENT_BYTES, listener).read(content)
			.flatMap(new TextParser(listener)::parse);
	}

	/**
	 * Parses and validates a text that the platform served.
	 * @param revision the platform's revision
	 * @param content the text, JSON with comments in UTF-8
	 * @return the parsed text, or its problems, whose number {@link DocumentReader}
	 * limits
	 */
	public static Either<List<Problem>, ParsedDocument<Snapshot>> parseText(long revision, byte[] content) {
		return readText(content).map((text) -> {
			Document document = Document.of(Channel.TEXT, revision, DocumentSplitter.split(Channel.TEXT, content));
			return new ParsedDocument<>(document, new Snapshot(document.version(), text));
		});
	}

	/**
	 * Parses and validates a VM list that the platform served.
	 * @param revision the platform's revision
	 * @param content the VM list, JSON with comments in UTF-8
	 * @return the parsed list, or its problems, whose number {@link DocumentReader}
	 * limits
	 */
	public static Either<List<Problem>, ParsedDocument<VmList>> parseVmList(long revision, byte[] content) {
		return readVmList(content).map((vms) -> {
			Document document = Document.of(Channel.VMS, revision, DocumentSplitter.split(Channel.VMS, content));
			return new ParsedDocument<>(document, vms);
		});
	}

	/**
	 * Parses and validates a text that another node served in parts.
	 * @param document the document; its digests were verified by
	 * {@link Document#fromReceivedParts}
	 * @return the parsed text, or its problems, whose number {@link DocumentReader}
	 * limits
	 */
	public static Either<List<Problem>, ParsedDocument<Snapshot>> parseText(Document document) {
		return readText(DocumentSplitter.join(document))
			.map((text) -> new ParsedDocument<>(document, new Snapshot(document.version(), text)));
	}

	/**
	 * Parses and validates a VM list that another node served in parts.
	 * @param document the document; its digests were verified by
	 * {@link Document#fromReceivedParts}
	 * @return the parsed list, or its problems, whose number {@link DocumentReader}
	 * limits
	 */
	public static Either<List<Problem>, ParsedDocument<VmList>> parseVmList(Document document) {
		return readVmList(DocumentSplitter.join(document)).map((vms) -> new ParsedDocument<>(document, vms));
	}

	private static Either<List<Problem>, MeshText> readText(byte[] content) {
		return DocumentReader.read(content, MAX_DOCUMENT_BYTES,
				(root, listener) -> new TextParser(listener).parse(root));
	}

	private static Either<List<Problem>, VmList> readVmList(byte[] content) {
		return DocumentReader.read(content, MAX_DOCUMENT_BYTES,
				(root, listener) -> new VmListParser(listener).parse(root));
	}

}
