package org.bramleylatch.core;

/**
 * Is one endpoint as this router sees it.
 *
 * @param memoryTokens how many tokens the endpoint can hold at once; 0 for a plain service
 * @param leaving which signals say that the endpoint leaves
 * @param sentTokens what this router's running requests may need there
 * @param unreadTokens the prompts of this router's requests that have given no token yet
 * @param outstanding how many of this router's requests run there
 * @param reportedTokens what the endpoint last said it holds for all routers
 * @param sentAtReportTokens what this router had there when that report came
 * @param failures failed attempts since the last good one
 * @param ejectedUntilMillis no new work before this time
 */
public record EndpointRow(
        EndpointId id,
        String backEnd,
        Zone zone,
        Version version,
        long memoryTokens,
        Leaving leaving,
        long sentTokens,
        long unreadTokens,
        int outstanding,
        long reportedTokens,
        long sentAtReportTokens,
        int failures,
        long ejectedUntilMillis) {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long EJECT_MILLIS = 2_000;
    private static final int MOST_DOUBLINGS = 4;

    /** Returns an endpoint that nothing was sent to. */
    public static EndpointRow of(
            EndpointId id, String backEnd, Zone zone, Version version, long memoryTokens) {
        return new EndpointRow(
                id, backEnd, zone, version, memoryTokens, Leaving.no(), 0, 0, 0, 0, 0, 0, 0);
    }

    /** Returns what the endpoint is thought to hold: its last report and what was sent since. */
    public long heldTokens() {
        return Math.max(sentTokens, reportedTokens + sentTokens - sentAtReportTokens);
    }

    /** Returns true if a request of the given size fits into the endpoint's memory. */
    public boolean fits(long tokens) {
        return memoryTokens == 0 || heldTokens() + tokens <= memoryTokens;
    }

    /** Returns true if new work may be sent at the given time. */
    public boolean isOpen(long nowMillis) {
        return !leaving.isSaid() && nowMillis >= ejectedUntilMillis;
    }

    /** Returns the endpoint after a request with the given prompt was sent. */
    public EndpointRow sent(long tokens, long promptTokens) {
        return with(sentTokens + tokens, unreadTokens + promptTokens, outstanding + 1);
    }

    /** Returns the endpoint after a request gave its first token. */
    public EndpointRow read(long promptTokens) {
        return with(sentTokens, unreadTokens - promptTokens, outstanding);
    }

    /** Returns the endpoint after a request ended, of which a part of the prompt was unread. */
    public EndpointRow ended(long tokens, long stillUnreadTokens) {
        return with(sentTokens - tokens, unreadTokens - stillUnreadTokens, outstanding - 1);
    }

    /** Returns the endpoint with the latest signals on whether it leaves. */
    public EndpointRow leaving(Leaving latest) {
        return with(latest, failures, ejectedUntilMillis);
    }

    /** Returns the endpoint after an attempt went well. */
    public EndpointRow succeeded() {
        return with(leaving, 0, 0);
    }

    /** Returns the endpoint after an attempt failed; repeated failures keep new work away. */
    public EndpointRow failed(long nowMillis) {
        int count = failures + 1;
        int doublings = Math.min(MOST_DOUBLINGS, count - FAILURES_TO_EJECT);
        long until = count < FAILURES_TO_EJECT ? 0 : nowMillis + (EJECT_MILLIS << doublings);
        return with(leaving, count, until);
    }

    /** Returns the endpoint after it told what it holds. */
    public EndpointRow reported(long tokens) {
        return new EndpointRow(
                id,
                backEnd,
                zone,
                version,
                memoryTokens,
                leaving,
                sentTokens,
                unreadTokens,
                outstanding,
                tokens,
                sentTokens,
                failures,
                ejectedUntilMillis);
    }

    /** Returns the endpoint of a new listing with what this router knows of the old one. */
    public EndpointRow listed(EndpointRow listing) {
        return new EndpointRow(
                id,
                listing.backEnd,
                listing.zone,
                listing.version,
                listing.memoryTokens,
                leaving.listed(listing.leaving.listed()),
                sentTokens,
                unreadTokens,
                outstanding,
                reportedTokens,
                sentAtReportTokens,
                failures,
                ejectedUntilMillis);
    }

    private EndpointRow with(long tokens, long unread, int requests) {
        return new EndpointRow(
                id,
                backEnd,
                zone,
                version,
                memoryTokens,
                leaving,
                tokens,
                unread,
                requests,
                reportedTokens,
                sentAtReportTokens,
                failures,
                ejectedUntilMillis);
    }

    private EndpointRow with(Leaving latest, int failed, long ejectedUntil) {
        return new EndpointRow(
                id,
                backEnd,
                zone,
                version,
                memoryTokens,
                latest,
                sentTokens,
                unreadTokens,
                outstanding,
                reportedTokens,
                sentAtReportTokens,
                failed,
                ejectedUntil);
    }
}
