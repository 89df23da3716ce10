package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/** Lists the messages that the world of the administration API sends out. */
public sealed interface AdminOutput {

    /** Appends the records to the log in order, as one batch. */
    record AppendBatch(List<SequencedRecord> records) implements AdminOutput {

        /** Copies the list. */
        public AppendBatch {
            records = List.copyOf(records);
        }
    }

    /**
     * Reports the result of a proposed record once it was read back from the log.
     *
     * @param callId the id of the API call that proposed the record
     * @param refusal why the record was refused, or that its outcome is unknown; empty if it was
     *     accepted
     */
    record ProposalResult(long callId, Optional<ResultCode> refusal) implements AdminOutput {}
}
