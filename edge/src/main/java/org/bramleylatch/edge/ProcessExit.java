package org.bramleylatch.edge;

import ch.qos.logback.classic.LoggerContext;
import java.util.Optional;
import org.slf4j.LoggerFactory;

/**
 * Ends the process. The runtime takes 300 ms for its exit while a thread is in a system call, in
 * which open connections are neither read nor closed: those of callers must be closed before.
 */
public final class ProcessExit {
    /** The status of a process that SIGTERM ends. */
    public static final int STOPPED_BY_SIGNAL = 128 + 15;

    private ProcessExit() {}

    /** Writes the log lines that wait, and ends the process with the status. */
    public static void now(int status) {
        Optional.of(LoggerFactory.getILoggerFactory())
                .filter(LoggerContext.class::isInstance)
                .map(LoggerContext.class::cast)
                .ifPresent(LoggerContext::stop);
        System.out.flush();
        System.err.flush();
        Runtime.getRuntime().halt(status);
    }
}
