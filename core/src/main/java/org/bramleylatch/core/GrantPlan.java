package org.bramleylatch.core;

/**
 * Is what a keeper does about its grant of one budget.
 *
 * @param askTokens how much to ask for, 0 for nothing
 * @param returnTokens how much to give back, 0 for nothing
 */
public record GrantPlan(long askTokens, long returnTokens) {
    private static final GrantPlan KEEP = new GrantPlan(0, 0);

    /** Returns the plan to change nothing. */
    public static GrantPlan keep() {
        return KEEP;
    }

    /** Returns the plan to ask for the given tokens. */
    public static GrantPlan ask(long tokens) {
        return tokens > 0 ? new GrantPlan(tokens, 0) : KEEP;
    }

    /** Returns the plan to give the given tokens back. */
    public static GrantPlan giveBack(long tokens) {
        return tokens > 0 ? new GrantPlan(0, tokens) : KEEP;
    }
}
