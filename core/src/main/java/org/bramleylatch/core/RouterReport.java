package org.bramleylatch.core;

/**
 * Marks what a router tells all others. A report holds all that its router has to say on a subject,
 * so that the latest one replaces those before it.
 */
public sealed interface RouterReport permits CrashEvidence, LimitReport {

    /** Returns the router that made the report. */
    Incarnation router();

    /** Returns the key under which the report replaces an earlier one of the same router. */
    default String subject() {
        return getClass().getSimpleName() + '/' + router().stableName();
    }
}
