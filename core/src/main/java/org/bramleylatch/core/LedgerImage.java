package org.bramleylatch.core;

import java.util.List;

/**
 * Is a copy of a ledger's rows at one offset.
 *
 * @param nextOffset the offset of the first record that the image does not include
 * @param logMillis the time of the log at that offset, in milliseconds
 */
public record LedgerImage(long nextOffset, long logMillis, List<Row> rows) {

    /** Copies the list. */
    public LedgerImage {
        rows = List.copyOf(rows);
    }

    /** Returns a digest of the rows that does not depend on their order. */
    public long digest() {
        return Ledger.digestOf(rows.stream());
    }

    /** Is one row of any of the ledger's tables. */
    public sealed interface Row {}

    /** Carries a budget. */
    public record BudgetPart(BudgetRow budget) implements Row {}

    /** Carries a grant. */
    public record GrantPart(GrantRow grant) implements Row {}

    /** Carries an intent. */
    public record IntentPart(IntentRow intent) implements Row {}

    /** Carries a writer's progress. */
    public record WriterPart(WriterRow writer) implements Row {}

    /** Is what a holder last said of itself. */
    record HolderPart(HolderRow holder) implements Row {}

    /** Carries a move. */
    public record MovePart(MoveRow move) implements Row {}

    /** Carries a settled key. */
    public record KeyPart(RequestKey key) implements Row {}
}
