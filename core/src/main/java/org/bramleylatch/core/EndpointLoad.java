package org.bramleylatch.core;

/**
 * Estimates how many tokens one endpoint holds, from its last report and from the requests that
 * this router runs there.
 *
 * @param ownTokens the worst case of this router's running requests
 * @param unprocessedPromptTokens the prompts of this router's requests without a first token
 * @param outstanding how many of this router's requests run there
 * @param reportedTokens the tokens held for all routers according to the endpoint's last report
 * @param ownTokensAtReport the value of {@code ownTokens} when that report arrived
 */
public record EndpointLoad(
        long ownTokens,
        long unprocessedPromptTokens,
        int outstanding,
        long reportedTokens,
        long ownTokensAtReport) {
    private static final EndpointLoad NONE = new EndpointLoad(0, 0, 0, 0, 0);

    /** Returns the load of an endpoint without requests or reports. */
    public static EndpointLoad none() {
        return NONE;
    }

    /** Returns the last reported tokens plus the change of this router's tokens since then. */
    public long estimatedTokens() {
        return Math.max(ownTokens, reportedTokens + ownTokens - ownTokensAtReport);
    }

    /**
     * Returns the load with the given amounts added to those of this router; they may be negative.
     */
    public EndpointLoad plus(long tokens, long promptTokens, int requests) {
        return new EndpointLoad(
                ownTokens + tokens,
                unprocessedPromptTokens + promptTokens,
                outstanding + requests,
                reportedTokens,
                ownTokensAtReport);
    }

    /** Returns the load after the endpoint reported the tokens that it holds for all routers. */
    public EndpointLoad tokensReported(long tokens) {
        return new EndpointLoad(ownTokens, unprocessedPromptTokens, outstanding, tokens, ownTokens);
    }
}
