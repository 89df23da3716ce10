package org.bramleylatch.edge;

/** Names the streams of the log of the platform. */
public final class LogStreams {
    /** Holds proposed sections and snapshots of the configuration. */
    public static final String CONFIGURATION = "config";

    /** Holds the ledger: records of budgets, grants, usage, intents, moves, and its snapshots. */
    public static final String LEDGER = "accounts-0";

    private LogStreams() {}
}
