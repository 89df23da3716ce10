package org.bramleylatch.bench;

import java.util.ArrayList;
import java.util.List;
import org.bramleylatch.core.BudgetId;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.Ledger;
import org.bramleylatch.core.LedgerFold;
import org.bramleylatch.core.LedgerRecord;
import org.bramleylatch.core.LogEntry;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.Usage;

/**
 * Measures the fold of the log: heap per budget, per grant and per remembered key of a settled
 * request, and records per second.
 */
public final class FoldMain {
    private static final int[] BUDGET_COUNTS = {100_000, 200_000, 400_000};
    private static final int RECORD_COUNT = 1_000_000;
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final Incarnation WRITER = Incarnation.of("writer");
    private static final Incarnation[] HOLDERS = {
        Incarnation.of("keeper-a"), Incarnation.of("keeper-b"), Incarnation.of("keeper-c")
    };

    private final int budgetCount;
    private final Ledger ledger = Ledger.empty();
    private final LedgerFold fold = LedgerFold.of(ledger);
    private final List<BudgetId> budgetIds = new ArrayList<>();
    private long sequence;

    private FoldMain(int budgetCount) {
        this.budgetCount = budgetCount;
    }

    /** Runs the measurement at three sizes, twice each; only the second run is printed. */
    public static void main(String[] arguments) {
        for (int budgetCount : BUDGET_COUNTS) {
            new FoldMain(budgetCount).run(false);
            new FoldMain(budgetCount).run(true);
        }
    }

    private void run(boolean isPrinted) {
        long bytesBeforeBudgets = usedHeapBytes();
        for (int index = 0; index < budgetCount; index++) {
            BudgetId id = BudgetId.of("member-" + index);
            applyRecord(new LedgerRecord.BudgetCreated(id, "workspace"));
        }
        long budgetBytes = usedHeapBytes() - bytesBeforeBudgets;
        ledger.budgets().keys().forEach(budgetIds::add);
        for (BudgetId id : budgetIds) {
            applyRecord(new LedgerRecord.BudgetToppedUp(id, newKey(), 1_000_000));
        }
        long bytesBeforeGrants = usedHeapBytes();
        for (BudgetId id : budgetIds) {
            applyRecord(new LedgerRecord.GrantAsked(id, HOLDERS[0], 1_000, 0, 0));
        }
        long grantBytes = usedHeapBytes() - bytesBeforeGrants;
        long bytesBeforeKeys = usedHeapBytes();
        long nanos = measureFoldNanos();
        long keyBytes = usedHeapBytes() - bytesBeforeKeys;
        if (isPrinted) {
            System.out.printf(
                    "%d budgets: %d bytes a budget, %d bytes a grant, %.0f records/s, %d bytes a"
                            + " settled key%n",
                    budgetCount,
                    budgetBytes / budgetCount,
                    grantBytes / budgetCount,
                    RECORD_COUNT / (nanos / 1e9),
                    keyBytes / (RECORD_COUNT / 2));
        }
    }

    private long measureFoldNanos() {
        List<LogEntry> entries = new ArrayList<>(RECORD_COUNT);
        long offset = ledger.nextOffset();
        for (int index = 0; index < RECORD_COUNT; index++) {
            sequence++;
            entries.add(
                    new LogEntry(
                            offset + index, START_MILLIS, WRITER, sequence, sampleRecord(index)));
        }
        long startNanos = System.nanoTime();
        entries.forEach(fold::apply);
        return System.nanoTime() - startNanos;
    }

    /**
     * Returns one of a fixed mix of records: half report usage, a quarter ask for a grant and a
     * quarter return one. Multiplying by 2^32 / golden ratio spreads them over the budgets.
     */
    private LedgerRecord sampleRecord(int index) {
        BudgetId id = budgetIds.get((int) ((index * 2_654_435_761L) % budgetIds.size()));
        return switch (index % 4) {
            case 0 -> new LedgerRecord.GrantAsked(id, HOLDERS[0], 10, 0, 100);
            case 2 -> new LedgerRecord.GrantReturned(id, HOLDERS[0], 1);
            default ->
                    new LedgerRecord.UsageReported(id, HOLDERS[0], List.of(Usage.of(newKey(), 1)));
        };
    }

    private void applyRecord(LedgerRecord record) {
        sequence++;
        fold.apply(new LogEntry(ledger.nextOffset(), START_MILLIS, WRITER, sequence, record));
    }

    /** Returns an unused key; multiplying by 2^64 / golden ratio spreads the keys evenly. */
    private RequestKey newKey() {
        return RequestKey.of(START_MILLIS, sequence * 0x9E3779B97F4A7C15L);
    }

    private static long usedHeapBytes() {
        for (int round = 0; round < 3; round++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
