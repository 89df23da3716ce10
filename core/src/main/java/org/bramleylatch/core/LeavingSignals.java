package org.bramleylatch.core;

/**
 * Holds the signals that an endpoint is leaving, so that it gets no new work. Any is enough.
 *
 * @param listedAsLeaving true if the platform or the registry lists the endpoint as leaving
 * @param reportedLeaving true if the endpoint's own load report says so
 * @param withdrawn true if the endpoint is no longer listed, so that its row goes with its last
 *     request
 */
public record LeavingSignals(boolean listedAsLeaving, boolean reportedLeaving, boolean withdrawn) {
    private static final LeavingSignals NONE = new LeavingSignals(false, false, false);

    /** Returns the signals of an endpoint that is not leaving. */
    public static LeavingSignals none() {
        return NONE;
    }

    /** Returns true if any signal is set. */
    public boolean isLeaving() {
        return listedAsLeaving || reportedLeaving || withdrawn;
    }

    /** Returns the signals with the given one from the list, which has the endpoint. */
    public LeavingSignals withListedAsLeaving(boolean isLeaving) {
        return new LeavingSignals(isLeaving, reportedLeaving, false);
    }

    /** Returns the signals of an endpoint that is no longer listed. */
    public LeavingSignals asWithdrawn() {
        return new LeavingSignals(listedAsLeaving, reportedLeaving, true);
    }

    /** Returns the signals with the given one from the endpoint's report. */
    public LeavingSignals withReportedLeaving(boolean isLeaving) {
        return new LeavingSignals(listedAsLeaving, isLeaving, withdrawn);
    }
}
