package org.bramleylatch.bench;

/**
 * Tells how a policy did.
 *
 * @param falseCalm refusals while at least a twentieth of the budget was left and nothing failed
 * @param falseScarce such refusals while less was left, but enough for the request
 * @param falseCut refusals in any zone while money was left somewhere, during the cut
 * @param falseKilled such refusals after a keeper was killed
 * @param trueRefusals refusals because the budget was used up
 * @param overspentTokens the most that was ever bound beyond what was paid
 * @param strandedTokens what stayed with a killed keeper at the end
 * @param appends appends to the log
 * @param bytes bytes of records appended, as encoded
 */
record GrantResult(
        long requests,
        long falseCalm,
        long falseScarce,
        long falseCut,
        long falseKilled,
        long trueRefusals,
        long overspentTokens,
        long strandedTokens,
        long appends,
        long bytes) {}
