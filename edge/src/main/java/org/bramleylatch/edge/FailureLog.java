package org.bramleylatch.edge;

import org.bramleylatch.core.FailureHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs the exceptions of a world's systems. */
public final class FailureLog {
    private static final Logger LOG = LoggerFactory.getLogger(FailureLog.class);

    private FailureLog() {}

    /** Returns a handler that logs each exception with its message, timer, row or system. */
    public static FailureHandler handler() {
        return (subject, failure) -> LOG.error("step of a tick failed: {}", subject, failure);
    }
}
