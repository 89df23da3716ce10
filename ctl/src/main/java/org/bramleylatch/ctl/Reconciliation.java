package org.bramleylatch.ctl;

import io.vertx.core.Vertx;
import java.util.List;
import org.bramleylatch.core.BudgetStatement;
import org.bramleylatch.core.Ledger;
import org.bramleylatch.core.LedgerCursor;
import org.bramleylatch.core.LedgerFold;
import org.bramleylatch.core.LogUpdate;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.edge.LogPage;
import org.bramleylatch.edge.LogStreams;
import org.bramleylatch.edge.PlatformClient;
import org.bramleylatch.wire.Json;
import org.bramleylatch.wire.WireEntry;

/**
 * Recomputes the ledger from the ledger stream and checks that every budget balances and equals the
 * statement of the administration API.
 */
final class Reconciliation {
    private static final int MAX_RECORDS_PER_READ = 5_000;

    private final PlatformClient platform;
    private final LedgerCursor cursor = LedgerCursor.atStart();
    private Ledger ledger = Ledger.empty();
    private LedgerFold fold = LedgerFold.of(ledger);

    private Reconciliation(PlatformClient platform) {
        this.platform = platform;
    }

    /**
     * Prints every budget; fails with BOOKS_DO_NOT_BALANCE at the first one that does not balance
     * or differs from the log.
     */
    static void run(CtlOptions options, List<String> arguments) {
        PlatformClient platform =
                new PlatformClient(
                        Vertx.vertx(), AdminClient.parseAddress(options.platformAddress));
        Reconciliation reconciliation = new Reconciliation(platform);
        BudgetList budgetList =
                Json.read(AdminClient.of(options).get("/budgets"), BudgetList.class);
        reconciliation.readTo(budgetList.nextOffset());
        budgetList.budgets().forEach(reconciliation::checkStatement);
        System.out.println(
                budgetList.budgets().size()
                        + " budgets reconcile at offset "
                        + budgetList.nextOffset());
    }

    private void readTo(long endOffset) {
        while (ledger.nextOffset() < endOffset) {
            readPage(endOffset);
        }
    }

    private void readPage(long endOffset) {
        try {
            LogPage page =
                    platform.read(LogStreams.LEDGER, cursor.readOffset(), MAX_RECORDS_PER_READ, 0)
                            .join();
            // While searching, reads on past the end: a snapshot may have been appended there.
            cursor.advance(
                            page.earliestOffset(),
                            page.records().stream()
                                    .filter(
                                            item ->
                                                    item.offset() < endOffset
                                                            || cursor.isSearching())
                                    .map(
                                            item ->
                                                    WireEntry.decode(
                                                            item.offset(),
                                                            item.timeMillis(),
                                                            item.text()))
                                    .toList())
                    .forEach(this::applyUpdate);
        } catch (RuntimeException failure) {
            if (ResultException.codeOf(failure) != ResultCode.LOG_POSITION_EXPIRED) {
                throw failure;
            }
            cursor.markExpired();
        }
    }

    private void applyUpdate(LogUpdate update) {
        if (update instanceof LogUpdate.EntriesRead entriesRead) {
            entriesRead.entries().forEach(fold::apply);
        } else if (update instanceof LogUpdate.SnapshotLoaded snapshotLoaded) {
            ledger = Ledger.of(snapshotLoaded.snapshot());
            fold = LedgerFold.of(ledger);
        }
    }

    private void checkStatement(BudgetStatement reported) {
        System.out.printf(
                "%s paid %d settled %d open %d frozen %d free %d%n",
                reported.budget(),
                reported.paidTokens(),
                reported.settledTokens(),
                reported.openTokens(),
                reported.frozenTokens(),
                reported.freeTokens());
        boolean matchesLog =
                ledger.statement(reported.budget()).filter(reported::equals).isPresent();
        if (!reported.balances() || !matchesLog) {
            throw ResultException.of(
                    ResultCode.BOOKS_DO_NOT_BALANCE,
                    reported.budget()
                            + " does not balance or differs from the log, which gives "
                            + ledger.statement(reported.budget()));
        }
    }

    private record BudgetList(long nextOffset, List<BudgetStatement> budgets) {}
}
