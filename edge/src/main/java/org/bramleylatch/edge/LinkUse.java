package org.bramleylatch.edge;

/**
 * Counts the bytes of all connections of one use, such as those of callers.
 *
 * @param use what the connections are used for
 * @param readBytes the bytes read since the process started
 * @param writtenBytes the bytes written since the process started
 */
public record LinkUse(String use, long readBytes, long writtenBytes) {
    /** Connections that callers opened. */
    public static final String CALLERS = "callers";

    /** Connections to endpoints. */
    public static final String ENDPOINTS = "endpoints";

    /** Connections to endpoints that this VM carries for its peers. */
    public static final String RELAY = "relay";

    /** Connections that try whether an endpoint or a peer is reached. */
    public static final String PROBES = "probes";

    /** Connections to the platform's store. */
    public static final String STORE = "store";

    /** Connections between the VMs. */
    public static final String PEERS = "peers";

    /** Returns a count of nothing. */
    static LinkUse unused(String use) {
        return new LinkUse(use, 0, 0);
    }

    LinkUse read(long bytes) {
        return new LinkUse(use, readBytes + bytes, writtenBytes);
    }

    LinkUse written(long bytes) {
        return new LinkUse(use, readBytes, writtenBytes + bytes);
    }

    /** Returns what was moved since an earlier count of the same use. */
    public LinkUse since(LinkUse earlier) {
        return new LinkUse(use, readBytes - earlier.readBytes, writtenBytes - earlier.writtenBytes);
    }
}
