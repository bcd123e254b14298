package org.eelgrasspitch.node;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

import javax.net.SocketFactory;

/**
 * Creates sockets that receive a bounded number of bytes for each response.
 * <p>
 * The HTTP library bounds the head of a response and the caller of the library its body,
 * but neither bounds what stands between the parts of a chunked body: a chunk size or a
 * chunk extension without end is buffered until the connection closes. So the bound is on
 * all bytes of the socket. Beyond it, reading fails, and the library closes the
 * connection.
 * <p>
 * Example: with a bound of 2 MiB, a target that sends digits without end in the place of
 * a chunk size costs 2 MiB of memory and its call the answer.
 */
final class BoundedSocketFactory extends SocketFactory {

	private final long maxResponseBytes;

	/**
	 * Creates a factory.
	 * @param maxResponseBytes maximum number of bytes that a socket receives for one
	 * response, including heads and the framing of the body
	 */
	BoundedSocketFactory(long maxResponseBytes) {
		this.maxResponseBytes = maxResponseBytes;
	}

	/**
	 * Begins a new response on a socket of this factory, with the whole bound ahead of
	 * it. Has no effect on other sockets.
	 * @param socket the socket
	 */
	static void responseBegins(Socket socket) {
		if (socket instanceof BoundedSocket bounded) {
			bounded.remainingBytes = bounded.maxResponseBytes;
		}
	}

	@Override
	public Socket createSocket() {
		return new BoundedSocket(this.maxResponseBytes);
	}

	@Override
	public Socket createSocket(String host, int port) throws IOException {
		return connect(new InetSocketAddress(host, port), null);
	}

	@Override
	public Socket createSocket(String host, int port, InetAddress localHost, int localPort) throws IOException {
		return connect(new InetSocketAddress(host, port), new InetSocketAddress(localHost, localPort));
	}

	@Override
	public Socket createSocket(InetAddress host, int port) throws IOException {
		return connect(new InetSocketAddress(host, port), null);
	}

	@Override
	public Socket createSocket(InetAddress host, int port, InetAddress localHost, int localPort) throws IOException {
		return connect(new InetSocketAddress(host, port), new InetSocketAddress(localHost, localPort));
	}

	private Socket connect(InetSocketAddress remote, InetSocketAddress local) throws IOException {
		Socket socket = createSocket();
		socket.bind(local);
		socket.connect(remote);
		return socket;
	}

	/**
	 * A socket that counts what it receives.
	 */
	private static final class BoundedSocket extends Socket {

		private final long maxResponseBytes;

		/**
		 * Bytes that may still be received for the current response; set by the thread
		 * that sends a request and used by the one that reads the response.
		 */
		private volatile long remainingBytes;

		BoundedSocket(long maxResponseBytes) {
			this.maxResponseBytes = maxResponseBytes;
			this.remainingBytes = maxResponseBytes;
		}

		@Override
		public InputStream getInputStream() throws IOException {
			return new FilterInputStream(super.getInputStream()) {
				@Override
				public int read() throws IOException {
					checkBound();
					int next = super.read();
					BoundedSocket.this.remainingBytes -= (next >= 0) ? 1 : 0;
					return next;
				}

				@Override
				public int read(byte[] target, int offset, int length) throws IOException {
					checkBound();
					int count = super.read(target, offset, length);
					BoundedSocket.this.remainingBytes -= Math.max(0, count);
					return count;
				}
			};
		}

		private void checkBound() throws IOException {
			if (this.remainingBytes <= 0) {
				throw new IOException("the response is longer than " + this.maxResponseBytes + " bytes");
			}
		}

	}

}
