package org.bramleylatch.core;

/**
 * Holds the signals that an endpoint is leaving, so that it gets no new work. Either is enough.
 *
 * @param listedAsLeaving true if the platform or the registry lists the endpoint as leaving or not
 *     at all
 * @param reportedLeaving true if the endpoint's own load report says so
 */
public record Leaving(boolean listedAsLeaving, boolean reportedLeaving) {
    private static final Leaving NONE = new Leaving(false, false);

    /** Returns the signals of an endpoint that is not leaving. */
    public static Leaving no() {
        return NONE;
    }

    /** Returns true if either signal is set. */
    public boolean isLeaving() {
        return listedAsLeaving || reportedLeaving;
    }

    /** Returns the signals with the given one from the list. */
    public Leaving listed(boolean isLeaving) {
        return new Leaving(isLeaving, reportedLeaving);
    }

    /** Returns the signals with the given one from the endpoint's report. */
    public Leaving own(boolean isLeaving) {
        return new Leaving(listedAsLeaving, isLeaving);
    }
}
