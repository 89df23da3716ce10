package org.bramleylatch.core;

import org.bramleylatch.core.RouterInput.EndpointProbed.Outcome;

/**
 * Holds when a router last heard from an endpoint, and when it last probed it.
 *
 * @param heardMillis when a part of an answer arrived or a new connection was accepted; 0 if never
 * @param probedMillis when the last probe was sent; 0 if never
 * @param awaitsProbe true until the outcome of the last probe is known
 * @param unreachableMillis when the last probe with an outcome was sent if it found the endpoint
 *     unreachable; 0 if it did not, or the endpoint was heard from since
 */
public record EndpointContact(
        long heardMillis, long probedMillis, boolean awaitsProbe, long unreachableMillis) {
    /** An endpoint that was heard from in this time is alive; no probe is needed. */
    static final long FRESH_MILLIS = 500;

    /** Probes are priced; those for silent attempts are at least this far apart. */
    static final long MIN_PROBE_INTERVAL_MILLIS = 1_000;

    /** Longer than the edge waits for a connection; an outcome that is later was lost. */
    private static final long MAX_OUTCOME_DELAY_MILLIS = 1_600;

    private static final EndpointContact NONE = new EndpointContact(0, 0, false, 0);

    /** Returns the contact of an endpoint that was never used. */
    static EndpointContact none() {
        return NONE;
    }

    /** Returns the contact after the endpoint sent something. */
    EndpointContact heard(long nowMillis) {
        return new EndpointContact(nowMillis, probedMillis, awaitsProbe, 0);
    }

    /** Returns the contact after a probe was sent. */
    EndpointContact probeSent(long nowMillis) {
        return new EndpointContact(heardMillis, nowMillis, true, unreachableMillis);
    }

    /** Returns the contact after the outcome of the last probe arrived. */
    EndpointContact probeAnswered(Outcome outcome, long nowMillis) {
        boolean isUnreachable = outcome == Outcome.UNREACHABLE;
        EndpointContact answered =
                new EndpointContact(
                        heardMillis,
                        probedMillis,
                        false,
                        isUnreachable ? probedMillis : unreachableMillis);
        return outcome == Outcome.CONNECTED ? answered.heard(nowMillis) : answered;
    }

    /** Returns true if a probe was sent whose outcome may still come. */
    boolean isProbeUnderWay(long nowMillis) {
        return awaitsProbe && nowMillis - probedMillis < MAX_OUTCOME_DELAY_MILLIS;
    }

    /** Returns true if the endpoint was heard from a moment ago. */
    boolean isFresh(long nowMillis) {
        return nowMillis - heardMillis < FRESH_MILLIS;
    }

    /** Returns true if the last probe was sent so recently that another one has to wait. */
    boolean isProbeRecent(long nowMillis) {
        return nowMillis - probedMillis < MIN_PROBE_INTERVAL_MILLIS;
    }
}
