package org.bramleylatch.core;

import java.util.Optional;

/**
 * Holds usage that this router keeps until a keeper has read it back from the log.
 *
 * @param keeper the keeper that the usage was sent to; empty if it was not sent yet or that keeper
 *     was lost
 * @param unfinishedRequest the request whose caller still waits for the end of the answer, if any
 */
public record SettlementRow(
        GrantKey grant,
        Usage usage,
        Optional<Incarnation> keeper,
        Optional<RequestId> unfinishedRequest) {

    /** Returns the settlement after its usage was sent to the given keeper. */
    public SettlementRow withKeeper(Incarnation newKeeper) {
        return new SettlementRow(grant, usage, Optional.of(newKeeper), unfinishedRequest);
    }

    /** Returns the settlement after its keeper was lost, so that the usage must be sent again. */
    public SettlementRow withoutKeeper() {
        return new SettlementRow(grant, usage, Optional.empty(), unfinishedRequest);
    }

    /** Returns the settlement after the end of the answer was sent to the caller. */
    public SettlementRow answerFinished() {
        return new SettlementRow(grant, usage, keeper, Optional.empty());
    }
}
