package org.bramleylatch.bench;

/**
 * Counts what happened in one simulation of a grant policy. A refusal is false if the budget still
 * had enough tokens for the request, at whichever keeper, and true otherwise.
 *
 * @param falseRefusalsAmple false refusals without a fault, with at least 5% of the budget left
 * @param falseRefusalsScarce false refusals without a fault, with less than 5% of the budget left
 * @param falseRefusalsPartitioned false refusals, in any zone, of requests that arrived while a
 *     zone was cut off from the log
 * @param falseRefusalsAfterKill false refusals after a keeper was killed
 * @param trueRefusals refusals because the budget had too few tokens left
 * @param maxOverspentTokens the most by which tokens used or reserved ever exceeded those paid; 0
 *     if they never did
 * @param strandedTokens the open tokens of the killed keeper's grants when it was killed
 * @param appendCount the number of batches appended to the log
 * @param appendedBytes the size of the appended records, as encoded
 */
record GrantResult(
        long requests,
        long falseRefusalsAmple,
        long falseRefusalsScarce,
        long falseRefusalsPartitioned,
        long falseRefusalsAfterKill,
        long trueRefusals,
        long maxOverspentTokens,
        long strandedTokens,
        long appendCount,
        long appendedBytes) {}
