package org.bramleylatch.core;

import java.util.List;

/** Is what the account stream of the log tells a world. */
public sealed interface LedgerFeed {

    /** Records were read. */
    record EntriesRead(List<LogEntry> entries) implements LedgerFeed {

        /** Copies the list. */
        public EntriesRead {
            entries = List.copyOf(entries);
        }
    }

    /** A snapshot takes the place of what was read so far. */
    record SnapshotLoaded(LedgerImage image) implements LedgerFeed {}

    /** A batch was appended; one whose answer is lost is sent again. */
    record AppendDone(long lastSequence) implements LedgerFeed {}

    /** The end of the stream was reached for the first time. */
    record CaughtUp() implements LedgerFeed {}

    /** The log stopped or resumed answering reads. */
    record LogSeen(boolean reachable) implements LedgerFeed {}
}
