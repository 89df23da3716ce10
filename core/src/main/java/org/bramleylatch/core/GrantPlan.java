package org.bramleylatch.core;

/**
 * Says how a keeper changes its grant of one budget. If both amounts are positive, only the ask is
 * carried out.
 *
 * @param askTokens how many tokens to ask for, 0 for none
 * @param returnTokens how many tokens to return, 0 for none
 */
public record GrantPlan(long askTokens, long returnTokens) {
    private static final GrantPlan UNCHANGED = new GrantPlan(0, 0);

    /** Returns a plan that leaves the grant as it is. */
    public static GrantPlan unchanged() {
        return UNCHANGED;
    }

    /** Returns a plan that asks for the tokens; changes nothing unless they are positive. */
    public static GrantPlan asking(long tokens) {
        return tokens > 0 ? new GrantPlan(tokens, 0) : UNCHANGED;
    }

    /** Returns a plan that returns the tokens; changes nothing unless they are positive. */
    public static GrantPlan returning(long tokens) {
        return tokens > 0 ? new GrantPlan(0, tokens) : UNCHANGED;
    }
}
