package org.bramleylatch.core;

/**
 * Holds the signals that an endpoint is leaving, so that it gets no new work. Either is enough.
 *
 * @param listedAsLeaving true if the platform or the registry lists the endpoint as leaving or not
 *     at all
 * @param reportedLeaving true if the endpoint's own load report says so
 */
public record LeavingSignals(boolean listedAsLeaving, boolean reportedLeaving) {
    private static final LeavingSignals NONE = new LeavingSignals(false, false);

    /** Returns the signals of an endpoint that is not leaving. */
    public static LeavingSignals none() {
        return NONE;
    }

    /** Returns true if either signal is set. */
    public boolean isLeaving() {
        return listedAsLeaving || reportedLeaving;
    }

    /** Returns the signals with the given one from the list. */
    public LeavingSignals withListedAsLeaving(boolean isLeaving) {
        return new LeavingSignals(isLeaving, reportedLeaving);
    }

    /** Returns the signals with the given one from the endpoint's report. */
    public LeavingSignals withReportedLeaving(boolean isLeaving) {
        return new LeavingSignals(listedAsLeaving, isLeaving);
    }
}
