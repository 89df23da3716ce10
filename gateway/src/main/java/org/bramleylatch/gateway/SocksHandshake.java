package org.bramleylatch.gateway;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import org.bramleylatch.wire.Address;

/**
 * Reads the server's part of a SOCKS 5 handshake (RFC 1928) without authentication, for connections
 * to IPv4 addresses.
 */
final class SocksHandshake {
    /** The longest handshake has 255 methods and a domain name, neither of which is used here. */
    private static final int MAX_BYTES = 64;

    private static final int VERSION = 5;
    private static final int CONNECT = 1;
    private static final int IPV4 = 1;
    private static final int GREETING_HEAD_BYTES = 2;
    private static final int REQUEST_BYTES = 10;
    private static final int ADDRESS_OFFSET = 4;
    private static final int PORT_OFFSET = 8;
    private static final byte NO_AUTHENTICATION = 0;

    private final Buffer received = Buffer.buffer();
    private boolean greeted;

    /** Names what a server answers to a request to connect. */
    enum Reply {
        SUCCEEDED(0),
        GENERAL_FAILURE(1),
        NOT_ALLOWED(2),
        HOST_UNREACHABLE(4),
        CONNECTION_REFUSED(5);

        private final byte code;

        Reply(int code) {
            this.code = (byte) code;
        }

        Buffer message() {
            return Buffer.buffer(new byte[] {VERSION, code, 0, IPV4, 0, 0, 0, 0, 0, 0});
        }
    }

    /** Appends bytes; returns false if they are no handshake that this server supports. */
    boolean append(Buffer bytes) {
        received.appendBuffer(bytes);
        return received.length() <= MAX_BYTES && received.getByte(0) == VERSION;
    }

    /** Returns the answer to the client's greeting, once, when it is complete. */
    Optional<Buffer> takeGreetingAnswer() {
        int end = greetingEnd();
        if (greeted || end < 0) {
            return Optional.empty();
        }
        greeted = true;
        return Optional.of(Buffer.buffer(new byte[] {VERSION, NO_AUTHENTICATION}));
    }

    /** Returns the address to connect to once the request is complete. */
    Optional<Address> target() {
        int start = greetingEnd();
        if (start < 0 || received.length() < start + REQUEST_BYTES) {
            return Optional.empty();
        }
        String ip =
                received.getUnsignedByte(start + ADDRESS_OFFSET)
                        + "."
                        + received.getUnsignedByte(start + ADDRESS_OFFSET + 1)
                        + "."
                        + received.getUnsignedByte(start + ADDRESS_OFFSET + 2)
                        + "."
                        + received.getUnsignedByte(start + ADDRESS_OFFSET + 3);
        return Optional.of(new Address(ip, received.getUnsignedShort(start + PORT_OFFSET)));
    }

    /** Returns true if the complete request asks for a connection to an IPv4 address. */
    boolean isSupported() {
        int start = greetingEnd();
        return received.getByte(start) == VERSION
                && received.getByte(start + 1) == CONNECT
                && received.getByte(start + ADDRESS_OFFSET - 1) == IPV4;
    }

    private int greetingEnd() {
        if (received.length() < GREETING_HEAD_BYTES) {
            return -1;
        }
        int end = GREETING_HEAD_BYTES + received.getUnsignedByte(1);
        return received.length() < end ? -1 : end;
    }
}
