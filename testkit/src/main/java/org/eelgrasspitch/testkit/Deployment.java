package org.eelgrasspitch.testkit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.eelgrasspitch.node.NodeSettings;
import org.eelgrasspitch.node.SettingsParser;

/**
 * A deployment read from files: the operators' text, the VM list and the settings of
 * every node.
 *
 * @param text the operators' text, unparsed
 * @param vms the VM list, unparsed
 * @param members every node with its settings file, in the order of the files' names
 */
public record Deployment(byte[] text, byte[] vms, List<Member> members) {

	/**
	 * Reads a deployment.
	 * @param directory holds {@code text.jsonc}, {@code vms.jsonc} and {@code nodes/}
	 * @return the deployment
	 * @throws IllegalArgumentException if a settings file has errors
	 * @throws UncheckedIOException if a file cannot be read
	 */
	public static Deployment read(Path directory) {
		try (Stream<Path> files = Files.list(directory.resolve("nodes"))) {
			List<Member> members = new ArrayList<>();
			for (Path file : files.sorted().toList()) {
				NodeSettings settings = SettingsParser.read(file)
					.getOrElseThrow((problems) -> new IllegalArgumentException(file + ": " + problems));
				members.add(new Member(settings, file));
			}
			return new Deployment(Files.readAllBytes(directory.resolve("text.jsonc")),
					Files.readAllBytes(directory.resolve("vms.jsonc")), members);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Finds a member.
	 * @param vm the VM's name
	 * @return the member
	 * @throws IllegalArgumentException if there is no VM of that name
	 */
	public Member member(String vm) {
		return this.members.stream()
			.filter((member) -> member.settings().vm().equals(vm))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("no such VM: " + vm));
	}

	/**
	 * Returns the members that run a service.
	 * @param service the service's name
	 * @return its members; empty for an unknown service
	 */
	public List<Member> ofService(String service) {
		return this.members.stream().filter((member) -> member.settings().service().equals(service)).toList();
	}

	/**
	 * One node.
	 *
	 * @param settings its settings
	 * @param file its settings file
	 */
	public record Member(NodeSettings settings, Path file) {

	}

}
