package org.bramleylatch.core;

/**
 * Holds a router's accepted intent to run a request that must run at most once, which is its claim
 * on that run.
 *
 * @param offset the offset of the record that made the claim
 * @param finished true once the outcome is known
 * @param state what is known about the run
 * @param status the service's HTTP status, 0 while unknown
 * @param body the service's answer, empty while unknown
 */
public record IntentRow(
        RequestKey key,
        Incarnation router,
        long offset,
        boolean finished,
        RunState state,
        int status,
        String body) {

    /** Returns a claim whose outcome is not known. */
    public static IntentRow of(RequestKey key, Incarnation router, long offset) {
        return new IntentRow(key, router, offset, false, RunState.UNKNOWN, 0, "");
    }

    /** Returns the claim with its outcome. */
    public IntentRow finish(RunState outcome, int answerStatus, String answerBody) {
        return new IntentRow(key, router, offset, true, outcome, answerStatus, answerBody);
    }

    /**
     * Returns true if the request is known not to have run, so that a retry may claim it. The name
     * has no "is", as the JSON mapper would encode such a method as a property.
     */
    public boolean canBeReclaimed() {
        return finished && state == RunState.NOT_RUN;
    }
}
