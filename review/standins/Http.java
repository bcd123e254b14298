import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Raw HTTP/1.1 for the stand-ins. */
final class Http {

	private Http() {
	}

	/** Reads a line without its end; null at the end of the input. */
	static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		while (true) {
			int next = in.read();
			if (next < 0) {
				return null;
			}
			if (next == '\n') {
				String text = line.toString(StandardCharsets.ISO_8859_1);
				return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
			}
			line.write(next);
		}
	}

	static Map<String, String> readHeaders(InputStream in) throws IOException {
		Map<String, String> headers = new TreeMap<>();
		String line;
		while ((line = readLine(in)) != null && !line.isEmpty()) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		if (line == null) {
			throw new IOException("the head breaks off");
		}
		return headers;
	}

	/** Reads a body that has a length or chunks. */
	static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
		if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			while (true) {
				String size = readLine(in);
				if (size == null) {
					throw new IOException("the body breaks off");
				}
				int length = Integer.parseInt(size.split(";")[0].trim(), 16);
				body.write(exactly(in, length));
				readLine(in);
				if (length == 0) {
					return body.toByteArray();
				}
			}
		}
		return exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
	}

	private static byte[] exactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new IOException("the body breaks off");
		}
		return bytes;
	}

	/**
	 * An answer as a requester sees it.
	 *
	 * @param status its status; 0 if there was none
	 * @param whole whether it ended as its head announced
	 */
	record Answer(int status, Map<String, String> headers, byte[] body, boolean whole, String problem) {

		String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

		String text() {
			return "status " + this.status + ", signature "
					+ (header("x-response-signature").isEmpty() ? "none" : header("x-response-signature"))
					+ ", body of " + this.body.length + " bytes, " + (this.whole ? "whole" : "not whole")
					+ (this.problem.isEmpty() ? "" : " (" + this.problem + ")");
		}

	}

	/** Sends one request on a new connection and reads its answer. */
	static Answer call(InetSocketAddress node, String method, String host, String path, String id, byte[] body,
			int budgetMillis) {
		StringBuilder head = new StringBuilder();
		head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: ").append(host);
		head.append("\r\nX-Request-Id: ").append(id).append("\r\nX-Request-Timeout-Ms: ").append(budgetMillis);
		head.append("\r\nConnection: close\r\n");
		if (body.length > 0) {
			head.append("Content-Length: ").append(body.length).append("\r\n");
		}
		head.append("\r\n");
		try (Socket socket = new Socket()) {
			socket.connect(node, 1_000);
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(budgetMillis);
			Thread writer = Thread.ofVirtual().start(() -> {
				try {
					OutputStream out = socket.getOutputStream();
					out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
					out.write(body);
					out.flush();
				}
				catch (IOException ex) {
					// The answer tells what became of the request.
				}
			});
			Answer answer = readAnswer(new BufferedInputStream(socket.getInputStream()));
			writer.interrupt();
			return answer;
		}
		catch (SocketTimeoutException ex) {
			return new Answer(0, Map.of(), new byte[0], false, "no answer within the time budget");
		}
		catch (IOException ex) {
			return new Answer(0, Map.of(), new byte[0], false, String.valueOf(ex.getMessage()));
		}
	}

	static Answer readAnswer(InputStream in) throws IOException {
		String statusLine = readLine(in);
		if (statusLine == null) {
			return new Answer(0, Map.of(), new byte[0], false, "closed without an answer");
		}
		int status = Integer.parseInt(statusLine.split(" ")[1]);
		Map<String, String> headers = readHeaders(in);
		try {
			if (!headers.containsKey("content-length") && !headers.containsKey("transfer-encoding")) {
				return new Answer(status, headers, in.readAllBytes(), true, "");
			}
			return new Answer(status, headers, readBody(in, headers), true, "");
		}
		catch (IOException ex) {
			return new Answer(status, headers, new byte[0], false, String.valueOf(ex.getMessage()));
		}
	}

}
