package org.bramleylatch.ctl;

import io.vertx.core.Vertx;
import java.util.List;
import org.bramleylatch.core.BudgetStatement;
import org.bramleylatch.core.Ledger;
import org.bramleylatch.core.LedgerCursor;
import org.bramleylatch.core.LogUpdate;
import org.bramleylatch.core.LedgerFold;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.edge.LogPage;
import org.bramleylatch.edge.LogStreams;
import org.bramleylatch.edge.PlatformClient;
import org.bramleylatch.wire.Json;
import org.bramleylatch.wire.WireEntry;

/** Folds the account stream anew and checks that every budget adds up, and as the API says. */
final class Reconcile {
    private static final int MOST_RECORDS = 5_000;

    private final PlatformClient platform;
    private final LedgerCursor cursor = LedgerCursor.atStart();
    private Ledger ledger = Ledger.empty();
    private LedgerFold fold = LedgerFold.of(ledger);

    private Reconcile(PlatformClient platform) {
        this.platform = platform;
    }

    /** Prints every budget; fails with BOOKS_DO_NOT_BALANCE if one does not add up. */
    static void run(CtlOptions options, List<String> words) {
        PlatformClient platform =
                new PlatformClient(Vertx.vertx(), AdminClient.address(options.platform));
        Reconcile reconcile = new Reconcile(platform);
        Books books = Json.read(AdminClient.of(options).get("/budgets"), Books.class);
        reconcile.readTo(books.nextOffset());
        books.budgets().forEach(reconcile::check);
        System.out.println(
                books.budgets().size() + " budgets reconcile at offset " + books.nextOffset());
    }

    private void readTo(long offset) {
        while (ledger.nextOffset() < offset) {
            step(offset);
        }
    }

    private void step(long offset) {
        try {
            LogPage page =
                    platform.read(LogStreams.ACCOUNTS, cursor.readOffset(), MOST_RECORDS, 0).join();
            cursor.advance(
                            page.earliest(),
                            page.records().stream()
                                    .filter(item -> item.o() < offset || cursor.isSearching())
                                    .map(i -> WireEntry.decode(i.o(), i.t(), i.d()))
                                    .toList())
                    .forEach(this::feed);
        } catch (RuntimeException failure) {
            if (ResultException.codeOf(failure) != ResultCode.LOG_POSITION_EXPIRED) {
                throw failure;
            }
            cursor.markExpired();
        }
    }

    private void feed(LogUpdate feed) {
        if (feed instanceof LogUpdate.EntriesRead read) {
            read.entries().forEach(fold::apply);
        } else if (feed instanceof LogUpdate.SnapshotLoaded loaded) {
            ledger = Ledger.of(loaded.snapshot());
            fold = LedgerFold.of(ledger);
        }
    }

    private void check(BudgetStatement told) {
        System.out.printf(
                "%s paid %d settled %d open %d frozen %d free %d%n",
                told.budget(),
                told.paidTokens(),
                told.settledTokens(),
                told.openTokens(),
                told.frozenTokens(),
                told.freeTokens());
        boolean same = ledger.statement(told.budget()).filter(told::equals).isPresent();
        if (!told.balances() || !same) {
            throw ResultException.of(
                    ResultCode.BOOKS_DO_NOT_BALANCE,
                    told.budget() + ": the log says " + ledger.statement(told.budget()));
        }
    }

    private record Books(long nextOffset, List<BudgetStatement> budgets) {}
}
