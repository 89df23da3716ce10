package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/** Is a message out of the world of the administration API. */
public sealed interface AdminOutput {

    /** Appends the records to the log, in order, in one call. */
    record AppendBatch(List<Numbered> records) implements AdminOutput {

        /** Copies the list. */
        public AppendBatch {
            records = List.copyOf(records);
        }
    }

    /** Tells the fold's verdict on a call's record: a refusal, or empty if it was accepted. */
    record Judged(long call, Optional<ResultCode> refusal) implements AdminOutput {}
}
