package org.bramleylatch.wire;

/** Is where a process listens: an IP number and a port. */
public record Address(String ip, int port) {

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
