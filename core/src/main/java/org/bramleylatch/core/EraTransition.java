package org.bramleylatch.core;

import java.util.List;
import java.util.stream.Stream;

/**
 * Folds the log of a new era beside the ledger of the one before. The keeper goes on with the
 * earlier ledger until the new one has what this keeper states, as its grants may be missing there.
 */
final class EraTransition {
    private final long era;
    private Ledger ledger = Ledger.empty();
    private LedgerFold fold = LedgerFold.of(ledger);
    private boolean stating;

    EraTransition(long era) {
        this.era = era;
    }

    long era() {
        return era;
    }

    Ledger ledger() {
        return ledger;
    }

    LedgerFold fold() {
        return fold;
    }

    /** Returns true once the end of the log was read and the statement is queued. */
    boolean isStating() {
        return stating;
    }

    void setStating() {
        stating = true;
    }

    void load(LedgerSnapshot snapshot) {
        ledger = Ledger.of(snapshot);
        fold = LedgerFold.of(ledger);
    }

    /** Returns true if the new ledger lacks something that the keeper knows or has to confirm. */
    boolean needsStatement(KeeperWorld world) {
        boolean isUnknownEra = ledger.statements().era() < era;
        boolean isHolder =
                world.ledger()
                        .grants()
                        .rows()
                        .anyMatch(grant -> grant.key().holder().equals(world.self()));
        return isUnknownEra || !ledger.statements().isSettled() || isHolder;
    }

    /** Returns what the keeper knows of the earlier era; tokens on their way back count as free. */
    LedgerRecord statement(KeeperWorld world) {
        return new LedgerRecord.EraStated(era, world.self(), world.position(), rows(world));
    }

    private static List<LedgerSnapshot.Row> rows(KeeperWorld world) {
        Ledger known = world.ledger();
        Stream<LedgerSnapshot.Row> budgets =
                known.budgets().rows().map(LedgerSnapshot.BudgetPart::new);
        Stream<LedgerSnapshot.Row> grants =
                known.grants()
                        .rows()
                        .map(grant -> withoutReturning(world, grant))
                        .map(LedgerSnapshot.GrantPart::new);
        Stream<LedgerSnapshot.Row> holders =
                known.holders().rows().map(LedgerSnapshot.HolderPart::new);
        Stream<LedgerSnapshot.Row> moves = known.moves().rows().map(LedgerSnapshot.MovePart::new);
        return Stream.of(budgets, grants, holders, moves).flatMap(rows -> rows).toList();
    }

    private static GrantRow withoutReturning(KeeperWorld world, GrantRow grant) {
        long returningTokens =
                world.grantUses()
                        .find(grant.key().budget())
                        .filter(use -> grant.key().holder().equals(world.self()))
                        .map(GrantUseRow::returningTokens)
                        .orElse(0L);
        return grant.returnTokens(returningTokens);
    }
}
