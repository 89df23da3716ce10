package org.bramleylatch.wire;

/** Holds the IP address and the TCP port at which a process listens. */
public record Address(String ip, int port) {

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
