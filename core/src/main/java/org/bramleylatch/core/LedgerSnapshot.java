package org.bramleylatch.core;

import java.util.List;

/**
 * Holds a copy of a ledger's rows at one offset.
 *
 * @param nextOffset the offset of the first record that the snapshot does not include
 * @param logMillis the time of the log at that offset, in milliseconds since the epoch
 */
public record LedgerSnapshot(long nextOffset, long logMillis, List<Row> rows) {

    /** Copies the list. */
    public LedgerSnapshot {
        rows = List.copyOf(rows);
    }

    /** Returns a digest of the rows that does not depend on their order. */
    public long digest() {
        return Ledger.digestOf(rows.stream());
    }

    /** Carries one row of any of the ledger's tables. */
    public sealed interface Row {}

    /** Carries the account of a budget. */
    public record BudgetPart(BudgetRow budget) implements Row {}

    /** Carries the grant of one holder. */
    public record GrantPart(GrantRow grant) implements Row {}

    /** Carries the latest claim on a request. */
    public record IntentPart(IntentRow intent) implements Row {}

    /** Carries the last sequence number of a writer. */
    public record WriterPart(WriterRow writer) implements Row {}

    /** Carries the last heartbeat of a holder. */
    record HolderPart(HolderRow holder) implements Row {}

    /** Carries the latest move of a route. */
    public record MovePart(MoveRow move) implements Row {}

    /** Carries the era of the log, whose grants are all stated. */
    public record EraPart(long era) implements Row {}

    /** Carries the key of settled usage or of a top-up. */
    public record KeyPart(RequestKey key) implements Row {}
}
