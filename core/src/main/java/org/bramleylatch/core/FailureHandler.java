package org.bramleylatch.core;

import java.util.function.Consumer;

/**
 * Handles an exception of one step of a tick, such as a message or a system, so that the steps
 * after it still run.
 */
@FunctionalInterface
public interface FailureHandler {

    /**
     * Handles the exception of a step.
     *
     * @param subject the message, timer, row or system whose step failed
     */
    void handle(Object subject, RuntimeException failure);

    /** Returns a handler that throws each exception again, which ends the tick. */
    static FailureHandler rethrowing() {
        return (subject, failure) -> {
            throw failure;
        };
    }

    /** Returns the step with its exceptions passed to this handler. */
    default <T> Consumer<T> guard(Consumer<? super T> step) {
        return subject -> {
            try {
                step.accept(subject);
            } catch (RuntimeException failure) {
                handle(subject, failure);
            }
        };
    }
}
