package org.bramleylatch.core;

/**
 * Holds what a router knows about one endpoint.
 *
 * @param memoryTokens how many tokens the endpoint can hold at once; 0 for a service without tokens
 * @param slots the maximum number of requests that this router runs there at once; 0 for no maximum
 * @param leavingSignals the signals that the endpoint is leaving
 * @param load the tokens that the endpoint holds, estimated, and this router's requests there
 * @param health the recent failures, which may eject the endpoint
 * @param concurrency the most concurrent requests of this router, by their success
 * @param contact when this router last heard from the endpoint and probed it
 */
public record EndpointRow(
        EndpointId id,
        String backEnd,
        Zone zone,
        Version version,
        long memoryTokens,
        int slots,
        LeavingSignals leavingSignals,
        EndpointLoad load,
        EndpointHealth health,
        ConcurrencyLimit concurrency,
        EndpointContact contact) {
    private static final int OVERCOMMIT = 2;
    private static final int MIN_SLOTS = 4;

    /** Returns a healthy endpoint without load and without a maximum of concurrent requests. */
    public static EndpointRow of(
            EndpointId id, String backEnd, Zone zone, Version version, long memoryTokens) {
        return new EndpointRow(
                id,
                backEnd,
                zone,
                version,
                memoryTokens,
                0,
                LeavingSignals.none(),
                EndpointLoad.none(),
                EndpointHealth.healthy(),
                ConcurrencyLimit.unlimited(),
                EndpointContact.none());
    }

    /**
     * Returns true if this router's part of the endpoint has memory for the given tokens and a free
     * slot. The parts of all routers add up to twice the whole, as their load is uneven.
     *
     * @param routers the number of routers that share the endpoint, at least 1
     */
    public boolean hasCapacityFor(long tokens, int routers) {
        long memoryPart = Math.min(memoryTokens, OVERCOMMIT * memoryTokens / routers);
        boolean isIdle = load.outstanding() == 0 && tokens <= memoryTokens;
        boolean hasMemory =
                memoryTokens == 0 || isIdle || load.estimatedTokens() + tokens <= memoryPart;
        int slotsPart = Math.min(slots, Math.max(MIN_SLOTS, OVERCOMMIT * slots / routers));
        boolean hasSlot = load.outstanding() < slotsPart && concurrency.allows(load.outstanding());
        return hasMemory && (slots == 0 || hasSlot);
    }

    /** Returns true if the endpoint has the memory for the given tokens while it is idle. */
    public boolean canHold(long tokens) {
        return memoryTokens == 0 || tokens <= memoryTokens;
    }

    /** Returns true if the endpoint is not leaving and its health allows another request. */
    public boolean acceptsWork(long nowMillis) {
        return !leavingSignals.isLeaving() && health.acceptsWork(nowMillis, load.outstanding());
    }

    /** Returns the endpoint after a request of the given worst case and prompt was sent. */
    public EndpointRow requestSent(long tokens, long promptTokens) {
        return with(leavingSignals, load.plus(tokens, promptTokens, 1), health);
    }

    /**
     * Returns the endpoint after the first token of a request arrived: its prompt is processed and
     * no longer counts as load.
     */
    public EndpointRow firstTokenReceived(long promptTokens) {
        return with(leavingSignals, load.plus(0, -promptTokens, 0), health);
    }

    /**
     * Returns the endpoint after a request ended.
     *
     * @param tokens the worst case of the request
     * @param stillUnprocessedTokens the length of its prompt if no token arrived, else 0
     */
    public EndpointRow requestEnded(long tokens, long stillUnprocessedTokens) {
        return with(leavingSignals, load.plus(-tokens, -stillUnprocessedTokens, -1), health);
    }

    /** Returns the endpoint with the given signals that it is leaving. */
    public EndpointRow withLeavingSignals(LeavingSignals latest) {
        return with(latest, load, health);
    }

    /** Returns the endpoint as healthy, after a successful attempt. */
    public EndpointRow attemptSucceeded() {
        return with(leavingSignals, load, EndpointHealth.healthy());
    }

    /** Returns the endpoint after an attempt failed. */
    public EndpointRow attemptFailed(long nowMillis) {
        return with(leavingSignals, load, health.attemptFailed(nowMillis));
    }

    /** Returns the endpoint after a connection to it could not be established. */
    public EndpointRow connectionFailed(long nowMillis) {
        return with(leavingSignals, load, health.connectionFailed(nowMillis));
    }

    /** Returns the endpoint with a maximum number of concurrent requests; 0 for no maximum. */
    public EndpointRow withSlots(int maxRequests) {
        return new EndpointRow(
                id,
                backEnd,
                zone,
                version,
                memoryTokens,
                maxRequests,
                leavingSignals,
                load,
                health,
                concurrency,
                contact);
    }

    /** Returns the endpoint after it started to answer an attempt within its latency objective. */
    EndpointRow answeredInTime() {
        return withConcurrency(concurrency.answeredInTime(load.outstanding()));
    }

    /** Returns the endpoint after it was silent until a timeout, or full. */
    EndpointRow overloaded(long nowMillis) {
        return withConcurrency(concurrency.overloaded(load.outstanding(), nowMillis));
    }

    private EndpointRow withConcurrency(ConcurrencyLimit newLimit) {
        return new EndpointRow(
                id,
                backEnd,
                zone,
                version,
                memoryTokens,
                slots,
                leavingSignals,
                load,
                health,
                newLimit,
                contact);
    }

    /** Returns the endpoint after it reported the tokens that it holds for all routers. */
    public EndpointRow tokensReported(long tokens) {
        return with(leavingSignals, load.tokensReported(tokens), health);
    }

    /**
     * Returns the given listing with this row's load, health and the leaving signal that the
     * endpoint itself reported.
     */
    public EndpointRow withListing(EndpointRow listing) {
        return listing.with(
                        leavingSignals.withListedAsLeaving(
                                listing.leavingSignals.listedAsLeaving()),
                        load,
                        health)
                .withConcurrency(concurrency)
                .withContact(contact);
    }

    /** Returns the endpoint with the given latest contact. */
    EndpointRow withContact(EndpointContact latest) {
        return new EndpointRow(
                id,
                backEnd,
                zone,
                version,
                memoryTokens,
                slots,
                leavingSignals,
                load,
                health,
                concurrency,
                latest);
    }

    private EndpointRow with(
            LeavingSignals latest, EndpointLoad newLoad, EndpointHealth newHealth) {
        return new EndpointRow(
                id,
                backEnd,
                zone,
                version,
                memoryTokens,
                slots,
                latest,
                newLoad,
                newHealth,
                concurrency,
                contact);
    }
}
