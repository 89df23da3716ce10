package org.bramleylatch.edge;

/** Names the streams of the platform's log that the system uses. */
public final class LogStreams {
    /** Carries the configuration. */
    public static final String CONFIGURATION = "config";

    /** Carries budgets, grants, usage and intents. */
    public static final String ACCOUNTS = "accounts-0";

    private LogStreams() {}
}
