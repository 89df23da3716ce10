package org.bramleylatch.bench;

/**
 * Tells how a policy did.
 *
 * @param falseRefusalsAmple refusals while at least a twentieth of the budget was left and nothing
 *     failed
 * @param falseRefusalsScarce such refusals while less was left, but enough for the request
 * @param falseRefusalsPartitioned refusals in any zone while money was left somewhere, during the
 *     cut
 * @param falseRefusalsAfterKill such refusals after a keeper was killed
 * @param trueRefusals refusals because the budget was used up
 * @param maxOverspentTokens the most that was ever bound beyond what was paid
 * @param strandedTokens what stayed with a killed keeper at the end
 * @param appendCount appends to the log
 * @param appendedBytes bytes of records appended, as encoded
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
