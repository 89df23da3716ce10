package org.bramleylatch.core;

/** Holds what a router knows about the paths to endpoints while some direct ones fail. */
final class PathTables {
    private final Table<EndpointId, LinkRow> links = Table.empty();
    private final Table<String, PeerPathRow> peers = Table.empty();
    private long directContactMillis;

    /** Returns the direct paths to endpoints that failed and have not been proved since. */
    Table<EndpointId, LinkRow> links() {
        return links;
    }

    /** Returns the peers that were asked to reach endpoints, by VM. */
    Table<String, PeerPathRow> peers() {
        return peers;
    }

    /** Returns when a direct connection last succeeded while others failed. */
    long directContactMillis() {
        return directContactMillis;
    }

    void setDirectContactMillis(long millis) {
        directContactMillis = millis;
    }
}
