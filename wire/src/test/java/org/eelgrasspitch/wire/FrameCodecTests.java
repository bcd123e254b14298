package org.eelgrasspitch.wire;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.eelgrasspitch.fleet.Peer;
import org.eelgrasspitch.fleet.PeerMessage;
import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.Header;
import org.eelgrasspitch.request.Reason;
import org.eelgrasspitch.request.Ticket;
import org.eelgrasspitch.text.Channel;
import org.eelgrasspitch.text.Part;
import org.eelgrasspitch.text.PartDelta;
import org.eelgrasspitch.text.RouteKey;
import org.eelgrasspitch.text.Version;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests that every kind of frame is encoded to the same bytes again after decoding, and
 * that invalid input is rejected with a {@link MalformedFrameException}. Any other
 * exception thrown by the decoder fails the test.
 */
public class FrameCodecTests {

	private static final long SEED = 20_261_203;

	private static final int MUTATION_COUNT = 20_000;

	private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 7400);

	private static final Digest DIGEST = Digest.of(new byte[] { 1 });

	private final FrameCodec codec = new FrameCodec();

	@Test
	public void framesAreUnchangedByARoundTrip() throws MalformedFrameException {
		for (Frame frame : frames()) {
			byte[] content = this.codec.encode(frame);
			Assert.assertEquals(this.codec.encode(this.codec.decode(content)), content, frame.toString());
		}
	}

	@Test
	public void mutatedFramesAreDecodedOrRejected() {
		SplittableRandom random = new SplittableRandom(SEED);
		List<Frame> frames = frames();
		for (int index = 0; index < MUTATION_COUNT; index++) {
			byte[] content = this.codec.encode(frames.get(random.nextInt(frames.size())));
			byte[] mutated = Arrays.copyOf(content, 1 + random.nextInt(content.length + 4));
			for (int change = random.nextInt(4); change >= 0; change--) {
				mutated[random.nextInt(mutated.length)] = (byte) random.nextInt();
			}
			try {
				this.codec.decode(mutated);
			}
			catch (MalformedFrameException ex) {
				Assert.assertEquals(ex.problem().type().code(), 502);
			}
		}
	}

	@Test
	public void partWithWrongDeclaredLengthIsRejected() throws MalformedFrameException {
		byte[] compressed = new PartCompressor().compress(Part.of("p", new byte[100]));
		Assert.assertEquals(PartCompressor.decompress(compressed, 100).length, 100);
		for (int length : new int[] { -1, 0, 99, 101, WireLimits.MAX_PART_BYTES + 1 }) {
			Assert.expectThrows(MalformedFrameException.class, () -> PartCompressor.decompress(compressed, length));
		}
	}

	private static List<Frame> frames() {
		Optional<Version> version = Optional.of(new Version(7, DIGEST));
		Ticket ticket = new Ticket("vm", ADDRESS, 1, 2, 3);
		RouteKey route = new RouteKey("s", "o");
		List<Header> headers = List.of(new Header("a", "b"));
		List<Frame> frames = new ArrayList<>();
		frames.add(new Frame.Hello(new Peer("vm", "fd", ADDRESS, 9), Purpose.CALL));
		frames.add(new Frame.Fleet(new PeerMessage.Status(version, Optional.empty(), 5, 6, true, 8)));
		frames.add(new Frame.Fleet(new PeerMessage.Query(3)));
		frames.add(new Frame.Fleet(new PeerMessage.Pull(Channel.VMS, Optional.empty(), List.of(DIGEST))));
		frames.add(new Frame.Fleet(new PeerMessage.Pull(Channel.VMS, Optional.of(DIGEST), List.of())));
		frames.add(new Frame.Fleet(new PeerMessage.BaseUnknown(Channel.TEXT)));
		frames.add(new Frame.Fleet(new PeerMessage.Parts(Channel.TEXT, version,
				List.of(new PeerMessage.ManifestEntry.Named("p", DIGEST), new PeerMessage.ManifestEntry.Kept(3, 4)),
				List.of(Part.of("p", new byte[50])), List.of(new PartDelta("q", DIGEST, DIGEST, 3, 4, new byte[5])))));
		frames.add(new Frame.Fleet(new PeerMessage.Heartbeat(-1, 5, 6)));
		frames.add(new Frame.Call(new CallMessage.Request(1, "id", route, 100, Optional.of(ticket), Optional.of(DIGEST),
				headers, new byte[9], 4)));
		frames.add(new Frame.Call(new CallMessage.Reply(1, new CallOutcome.Answered(200, headers, new byte[9]), 4)));
		frames.add(new Frame.Call(new CallMessage.Reply(1, new CallOutcome.NotRun(Reason.OVERLOADED, 9), 4)));
		frames.add(new Frame.Call(new CallMessage.Reply(1, new CallOutcome.Unknown(Reason.ANSWER_LOST), 4)));
		frames.add(new Frame.Call(new CallMessage.Reply(1, new CallOutcome.Late(5), 4)));
		frames.add(new Frame.Call(new CallMessage.Cancel(1)));
		frames.add(new Frame.Call(new CallMessage.TicketQuery(1, route, 5)));
		frames.add(new Frame.Call(new CallMessage.Tickets(1, List.of(ticket), Optional.of(Reason.LEAVING))));
		frames.add(new Frame.Call(new CallMessage.OutcomeQuery(1, ticket)));
		frames.add(new Frame.Call(new CallMessage.DeathNotice(1, DIGEST, "vm")));
		frames.add(new Frame.Call(new CallMessage.DeathNoticeAck(1, List.of("vm", "vm-2"))));
		return frames;
	}

}
