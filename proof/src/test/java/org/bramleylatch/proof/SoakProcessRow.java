package org.bramleylatch.proof;

import java.nio.file.Path;
import java.util.Optional;

/**
 * Holds a gateway process.
 *
 * @param number the number of the process in its soak, from 1
 * @param process the process
 * @param logFile where it logs
 * @param stopMillis when it was asked to stop; empty before
 * @param killedMillis when it was killed; empty if it was not
 * @param endedMillis when it ended; empty before
 */
record SoakProcessRow(
        int number,
        Process process,
        Path logFile,
        Optional<Long> stopMillis,
        Optional<Long> killedMillis,
        Optional<Long> endedMillis) {

    static SoakProcessRow started(int number, Process process, Path logFile) {
        return new SoakProcessRow(
                number, process, logFile, Optional.empty(), Optional.empty(), Optional.empty());
    }

    /** Returns the row of a process that was asked to stop; the first time counts. */
    SoakProcessRow stopped(long nowMillis) {
        Optional<Long> first = stopMillis.or(() -> Optional.of(nowMillis));
        return new SoakProcessRow(number, process, logFile, first, killedMillis, endedMillis);
    }

    SoakProcessRow killed(long nowMillis) {
        return new SoakProcessRow(
                number, process, logFile, stopMillis, Optional.of(nowMillis), endedMillis);
    }

    SoakProcessRow ended(long nowMillis) {
        return new SoakProcessRow(
                number, process, logFile, stopMillis, killedMillis, Optional.of(nowMillis));
    }

    @Override
    public String toString() {
        return "%d(stop=%s kill=%s end=%s)"
                .formatted(
                        number,
                        stopMillis.map(Object::toString).orElse("no"),
                        killedMillis.map(Object::toString).orElse("no"),
                        endedMillis.map(Object::toString).orElse("no"));
    }
}
