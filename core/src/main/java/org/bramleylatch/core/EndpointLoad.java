package org.bramleylatch.core;

/**
 * Is what one endpoint is thought to hold, in tokens.
 *
 * @param sentTokens what this router's running requests may need there
 * @param unreadTokens the prompts of this router's requests that have given no token yet
 * @param outstanding how many of this router's requests run there
 * @param reportedTokens what the endpoint last said it holds for all routers
 * @param sentAtReportTokens what this router had there when that report came
 */
public record EndpointLoad(
        long sentTokens,
        long unreadTokens,
        int outstanding,
        long reportedTokens,
        long sentAtReportTokens) {
    private static final EndpointLoad NONE = new EndpointLoad(0, 0, 0, 0, 0);

    /** Returns the load of an endpoint that nothing was sent to. */
    public static EndpointLoad none() {
        return NONE;
    }

    /** Returns what the endpoint is thought to hold: its last report and what was sent since. */
    public long heldTokens() {
        return Math.max(sentTokens, reportedTokens + sentTokens - sentAtReportTokens);
    }

    /** Returns the load after tokens, prompt tokens and requests were added to this router's. */
    public EndpointLoad plus(long tokens, long promptTokens, int requests) {
        return new EndpointLoad(
                sentTokens + tokens,
                unreadTokens + promptTokens,
                outstanding + requests,
                reportedTokens,
                sentAtReportTokens);
    }

    /** Returns the load after the endpoint told what it holds. */
    public EndpointLoad reported(long tokens) {
        return new EndpointLoad(sentTokens, unreadTokens, outstanding, tokens, sentTokens);
    }
}
