package org.bramleylatch.core;

/**
 * Is one endpoint as this router sees it.
 *
 * @param slots the most requests that a router runs there at once; 0 for no bound
 * @param memoryTokens how many tokens the endpoint can hold at once; 0 for a plain service
 * @param leaving which signals say that the endpoint leaves
 * @param load what the endpoint is thought to hold
 * @param health how its attempts went lately
 */
public record EndpointRow(
        EndpointId id,
        String backEnd,
        Zone zone,
        Version version,
        long memoryTokens,
        int slots,
        Leaving leaving,
        EndpointLoad load,
        EndpointHealth health) {

    /** Returns an endpoint that nothing was sent to. */
    public static EndpointRow of(
            EndpointId id, String backEnd, Zone zone, Version version, long memoryTokens) {
        return new EndpointRow(
                id,
                backEnd,
                zone,
                version,
                memoryTokens,
                0,
                Leaving.no(),
                EndpointLoad.none(),
                EndpointHealth.good());
    }

    /** Returns true if a request of the given size fits into the endpoint's memory. */
    public boolean fits(long tokens) {
        boolean roomy = memoryTokens == 0 || load.heldTokens() + tokens <= memoryTokens;
        return roomy && (slots == 0 || load.outstanding() < slots);
    }

    /** Returns true if new work may be sent at the given time. */
    public boolean isOpen(long nowMillis) {
        return !leaving.isSaid() && health.admits(nowMillis, load.outstanding());
    }

    /** Returns the endpoint after a request with the given prompt was sent. */
    public EndpointRow sent(long tokens, long promptTokens) {
        return with(leaving, load.plus(tokens, promptTokens, 1), health);
    }

    /** Returns the endpoint after a request gave its first token. */
    public EndpointRow read(long promptTokens) {
        return with(leaving, load.plus(0, -promptTokens, 0), health);
    }

    /** Returns the endpoint after a request ended, of which a part of the prompt was unread. */
    public EndpointRow ended(long tokens, long stillUnreadTokens) {
        return with(leaving, load.plus(-tokens, -stillUnreadTokens, -1), health);
    }

    /** Returns the endpoint with the latest signals on whether it leaves. */
    public EndpointRow leaving(Leaving latest) {
        return with(latest, load, health);
    }

    /** Returns the endpoint after an attempt went well. */
    public EndpointRow succeeded() {
        return with(leaving, load, EndpointHealth.good());
    }

    /** Returns the endpoint after an attempt failed. */
    public EndpointRow failed(long nowMillis) {
        return with(leaving, load, health.failed(nowMillis));
    }

    /** Returns the row after no connection to the endpoint could be made. */
    public EndpointRow lost(long nowMillis) {
        return with(leaving, load, health.unreachable(nowMillis));
    }

    /** Returns the row with a bound on the requests that it runs at once; 0 for none. */
    public EndpointRow withSlots(int most) {
        return new EndpointRow(
                id, backEnd, zone, version, memoryTokens, most, leaving, load, health);
    }

    /** Returns the endpoint after it told what it holds. */
    public EndpointRow reported(long tokens) {
        return with(leaving, load.reported(tokens), health);
    }

    /** Returns the endpoint of a new listing with what this router knows of the old one. */
    public EndpointRow listed(EndpointRow listing) {
        return listing.with(leaving.listed(listing.leaving.listed()), load, health);
    }

    private EndpointRow with(Leaving latest, EndpointLoad newLoad, EndpointHealth newHealth) {
        return new EndpointRow(
                id, backEnd, zone, version, memoryTokens, slots, latest, newLoad, newHealth);
    }
}
