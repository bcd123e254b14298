package org.eelgrasspitch.scenarios;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.SplittableRandom;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.eelgrasspitch.misc.Addresses;
import org.eelgrasspitch.node.NodeSettings;
import org.testng.Assert;

/**
 * Steps that send what no correct caller or node would send.
 */
public class EdgeSteps {

	private static final long SEED = 20_261_203;

	private static final int MAX_BYTES = 400;

	private final World world = Worlds.current();

	private HttpResponse<String> answer;

	@When("a caller sends node {word} a request with {}")
	public void send(String vm, String fault) throws IOException, InterruptedException {
		String node = "http://" + Addresses.format(settings(vm).callerAddress());
		HttpRequest.Builder request = HttpRequest.newBuilder().POST(HttpRequest.BodyPublishers.ofString("x"));
		switch (fault) {
			case "an unknown operation" -> request.uri(URI.create(node + "/archive/burn"));
			case "a malformed timeout" ->
				request.uri(URI.create(node + "/archive/read")).header("Request-Timeout-Millis", "soon");
			case "a malformed ticket" -> request.uri(URI.create(node + "/archive/pay")).header("Request-Ticket", "%%%");
			case "no ticket" -> request.uri(URI.create(node + "/archive/pay"));
			default -> throw new IllegalArgumentException(fault);
		}
		try (HttpClient client = HttpClient.newHttpClient()) {
			this.answer = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
		}
	}

	@Then("it is refused with status {int} and code {int}")
	public void refused(int status, int code) {
		Assert.assertEquals(this.answer.statusCode(), status, this.answer.body());
		Assert.assertTrue(this.answer.body().contains("\"code\":" + code), this.answer.body());
		Assert.assertTrue(this.answer.body().contains("\"ran\":\"no\""), this.answer.body());
	}

	@Then("no target ran anything")
	public void nothingRan() {
		Assert.assertEquals(this.world.starts(), Map.of());
	}

	@When("somebody sends {int} random connections to the node port of {word}")
	public void hostile(int count, String vm) {
		SplittableRandom random = new SplittableRandom(SEED);
		InetSocketAddress address = settings(vm).peerAddress();
		for (int index = 0; index < count; index++) {
			byte[] content = new byte[1 + random.nextInt(MAX_BYTES)];
			random.nextBytes(content);
			if (random.nextBoolean() && content.length > 4) {
				content[0] = 0;
				content[1] = 0;
				content[2] = 0;
				content[3] = (byte) Math.min(content.length - 4, 100);
			}
			try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
				socket.getOutputStream().write(content);
			}
			catch (IOException ex) {
				// The node may close the connection before everything is written: as it
				// should.
				continue;
			}
		}
	}

	private NodeSettings settings(String vm) {
		return this.world.cluster().deployment().member(vm).settings();
	}

}
