package org.bramleylatch.core;

import java.util.List;

/** Reports to a world what happened on the ledger stream of the log. */
public sealed interface LogUpdate {

    /** Carries entries that were read, in the order of their offsets. */
    record EntriesRead(List<LogEntry> entries) implements LogUpdate {

        /** Copies the list. */
        public EntriesRead {
            entries = List.copyOf(entries);
        }
    }

    /** Carries a snapshot that replaces all rows folded so far. */
    record SnapshotLoaded(LedgerSnapshot snapshot) implements LogUpdate {}

    /**
     * Reports that the log came back from a copy. Its newest records are lost, and their offsets
     * are given out again; the entries that follow are read from its beginning.
     */
    record EraBegan(long era) implements LogUpdate {}

    /** Confirms that the log appended a batch; without this the batch is sent again. */
    record BatchAppended(long lastSequence) implements LogUpdate {}

    /** Reports that the end of the stream was reached for the first time. */
    record CaughtUp() implements LogUpdate {}

    /** Reports whether the log answers reads. */
    record ReachabilityReported(boolean reachable) implements LogUpdate {}
}
