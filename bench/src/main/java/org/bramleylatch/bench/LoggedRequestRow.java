package org.bramleylatch.bench;

import java.util.Optional;

/**
 * Tracks what the lines of one request tell.
 *
 * @param vm the VM that the request came to
 * @param workspace the workspace of the request; empty until the line of its arrival is read
 * @param finished true if the caller got the whole of an answer with status 200
 */
record LoggedRequestRow(String vm, Optional<String> workspace, boolean finished) {

    /** Returns a row of which only the VM is known. */
    static LoggedRequestRow of(String vm) {
        return new LoggedRequestRow(vm, Optional.empty(), false);
    }

    LoggedRequestRow withWorkspace(String name) {
        return new LoggedRequestRow(vm, Optional.of(name), finished);
    }

    LoggedRequestRow markFinished() {
        return new LoggedRequestRow(vm, workspace, true);
    }
}
