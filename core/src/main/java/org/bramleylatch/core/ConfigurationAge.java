package org.bramleylatch.core;

import java.util.Set;

/**
 * Tells how old the configuration may be that a decision rests on.
 *
 * @param revision the revision of the configuration
 * @param millis how long ago no newer one was in force
 */
record ConfigurationAge(long revision, long millis) {
    /** Below the shortest time, 2 s, after which the platform expects a change to be in force. */
    private static final long MAX_FRESH_MILLIS = 1_900;

    /** Refusals that state that the configuration lacks something. */
    private static final Set<ResultCode> ABSENCES =
            Set.of(
                    ResultCode.UNKNOWN_ROUTE,
                    ResultCode.UNAUTHENTICATED,
                    ResultCode.UNKNOWN_BUDGET,
                    ResultCode.BUDGET_EXHAUSTED);

    /** Returns the age of a router's configuration. */
    static ConfigurationAge of(RouterWorld world, long nowMillis) {
        return new ConfigurationAge(
                world.configuration().revision(), nowMillis - world.configurationAsOfMillis());
    }

    /**
     * Returns the code to refuse with: what an old configuration lacks may have been added
     * meanwhile, so that the caller may try again.
     */
    ResultCode qualify(ResultCode code) {
        return isAbsence(code) && millis > MAX_FRESH_MILLIS ? ResultCode.CONFIGURATION_STALE : code;
    }

    /** Returns true if a refusal with the code states that the configuration lacks something. */
    static boolean isAbsence(ResultCode code) {
        return ABSENCES.contains(code);
    }

    @Override
    public String toString() {
        return "configuration=" + revision + " configurationAgeMillis=" + millis;
    }
}
