package org.bramleylatch.core;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.bramleylatch.core.LedgerRecord.EraStated;
import org.bramleylatch.core.LedgerRecord.GrantAsked;
import org.bramleylatch.core.LedgerRecord.GrantReturned;
import org.bramleylatch.core.LedgerRecord.HolderTakenOver;
import org.bramleylatch.core.LedgerSnapshot.BudgetPart;
import org.bramleylatch.core.LedgerSnapshot.GrantPart;
import org.bramleylatch.core.LedgerSnapshot.HolderPart;
import org.bramleylatch.core.LedgerSnapshot.MovePart;

/**
 * Applies what keepers state after the log came back from a copy. Each is the authority on its own
 * grants; of all others, the rows of the statement count that had read farthest in an earlier era.
 */
record EraRules(Ledger ledger) {
    private static final Optional<ResultCode> ACCEPTED = Optional.empty();

    /** A VM that has written nothing for longer no longer counts as part of the fleet. */
    private static final long VM_TIMEOUT_MILLIS = 60_000;

    /** More than are appended to a copy before the first statement of the new era. */
    private static final long MAX_EARLY_RECORDS = 200;

    /** Applies a statement, of which the first one of a later era begins that era. */
    Optional<ResultCode> state(EraStated record) {
        EraStatements statements = ledger.statements();
        boolean isLate = record.era() == statements.era() && statements.isSettled();
        if (record.era() < statements.era() || isLate) {
            return Optional.of(ResultCode.RECORD_REPEATED);
        }
        if (record.era() > statements.era()) {
            begin(record.era());
        }
        boolean isFarthest = statements.isFarthest(record.read());
        if (isFarthest) {
            restateOthers(record);
        }
        restateGrants(record, key -> key.holder().equals(record.holder()));
        statements.markStated(record.holder());
        sumOpenTokens();
        return ACCEPTED;
    }

    /** Refuses what rests on grants that the holder has not stated, or that others may have. */
    Optional<ResultCode> refuseUnsettled(LedgerRecord record) {
        EraStatements statements = ledger.statements();
        boolean isOfGrant = record instanceof GrantAsked || record instanceof GrantReturned;
        boolean isUnstated =
                isOfGrant && !statements.hasStated(((LedgerRecord.HolderRecord) record).holder());
        return !statements.isSettled() && (isUnstated || record instanceof HolderTakenOver)
                ? Optional.of(ResultCode.ERA_UNSETTLED)
                : ACCEPTED;
    }

    private void begin(long era) {
        long oldestMillis = ledger.logMillis() - VM_TIMEOUT_MILLIS;
        Set<String> writers =
                ledger.writers()
                        .rows()
                        .filter(row -> row.lastMillis() >= oldestMillis)
                        .map(row -> row.writer().stableName())
                        .filter(name -> name.indexOf('@') > 0)
                        .collect(Collectors.toSet());
        long copiedOffset = Math.max(0, ledger.nextOffset() - MAX_EARLY_RECORDS);
        LogPosition copied = new LogPosition(ledger.statements().era(), copiedOffset);
        ledger.statements().begin(era, copied, writers, ledger.logMillis());
        ledger.grants()
                .rows()
                .forEach(row -> ledger.statements().statedGrants().put(row.key(), row));
        ledger.budgets().rows().forEach(this::keepArchivedTokens);
        ledger.holders()
                .where(row -> !row.succeeded())
                .forEach(row -> ledger.holders().put(row.holder(), row.withLostSpan(true)));
    }

    private void keepArchivedTokens(BudgetRow row) {
        ledger.statements().statedArchivedTokens().put(row.id(), archivedTokens(row));
    }

    /** Returns the tokens that were billed against grants which no longer exist. */
    private long archivedTokens(BudgetRow row) {
        long settledTokens =
                ledger.grantsOf(row.id()).stream().mapToLong(GrantRow::settledTokens).sum();
        return row.settledTokens() - settledTokens;
    }

    private void restateOthers(EraStated record) {
        restateArchivedTokens(record);
        restateGrants(record, key -> !ledger.statements().hasStated(key.holder()));
        rowsOf(record, GrantPart.class)
                .map(GrantPart::grant)
                .filter(grant -> !grant.frozen() && grant.openTokens() > 0)
                .forEach(grant -> ledger.statements().await(grant.key().holder()));
        rowsOf(record, HolderPart.class).map(HolderPart::holder).forEach(this::restateHolder);
        rowsOf(record, MovePart.class).map(MovePart::move).forEach(this::restateMove);
    }

    private void restateArchivedTokens(EraStated record) {
        Map<BudgetId, Long> statedByGrant = new HashMap<>();
        rowsOf(record, GrantPart.class)
                .map(GrantPart::grant)
                .forEach(
                        row ->
                                statedByGrant.merge(
                                        row.key().budget(), row.settledTokens(), Long::sum));
        rowsOf(record, BudgetPart.class)
                .map(BudgetPart::budget)
                .forEach(row -> restateBudget(row, statedByGrant.getOrDefault(row.id(), 0L)));
    }

    private void restateBudget(BudgetRow stated, long statedByGrantTokens) {
        Table<BudgetId, Long> archived = ledger.statements().statedArchivedTokens();
        BudgetRow known = ledger.budgets().findOrAdd(stated.id(), () -> BudgetRow.of(stated.id()));
        long statedArchivedTokens = stated.settledTokens() - statedByGrantTokens;
        long addedTokens = statedArchivedTokens - archived.find(stated.id()).orElse(0L);
        archived.put(stated.id(), statedArchivedTokens);
        long missingPaidTokens = Math.max(0, stated.paidTokens() - known.paidTokens());
        ledger.budgets().put(stated.id(), known.addPaid(missingPaidTokens).addSettled(addedTokens));
    }

    private void restateGrants(EraStated record, Predicate<GrantKey> isConcerned) {
        Map<GrantKey, GrantRow> stated = new HashMap<>();
        rowsOf(record, GrantPart.class)
                .map(GrantPart::grant)
                .forEach(row -> stated.put(row.key(), row));
        Set<GrantKey> keys = new HashSet<>(stated.keySet());
        ledger.grants().keys().forEach(keys::add);
        ledger.statements().statedGrants().keys().forEach(keys::add);
        keys.stream()
                .filter(isConcerned)
                .sorted(Comparator.comparing(GrantKey::toString))
                .forEach(key -> restate(stated.getOrDefault(key, GrantRow.of(key))));
    }

    /** Sets a grant to what was stated, and keeps what was billed in this era. */
    private void restate(GrantRow stated) {
        GrantKey key = stated.key();
        Table<GrantKey, GrantRow> statedGrants = ledger.statements().statedGrants();
        GrantRow before = statedGrants.find(key).orElseGet(() -> GrantRow.of(key));
        GrantRow known = ledger.grants().find(key).orElseGet(() -> GrantRow.of(key));
        long billedTokens = Math.max(0, known.settledTokens() - before.settledTokens());
        long settledTokens = stated.settledTokens() + billedTokens;
        GrantRow restated =
                new GrantRow(
                        key,
                        Math.max(0, stated.openTokens() - billedTokens),
                        settledTokens,
                        0,
                        stated.demandTokensPerHour(),
                        stated.frozen() || known.frozen());
        long addedTokens = settledTokens - known.settledTokens();
        ledger.budgets().update(key.budget(), row -> row.addSettled(addedTokens));
        statedGrants.put(key, stated);
        if (restated.openTokens() == 0 && settledTokens == 0) {
            ledger.removeGrant(key);
        } else {
            ledger.putGrant(restated);
        }
    }

    private void restateHolder(HolderRow stated) {
        Optional<HolderRow> known = ledger.holders().find(stated.holder());
        boolean isNewer = known.filter(row -> row.stampMillis() > stated.stampMillis()).isEmpty();
        HolderRow latest = isNewer ? stated : known.get();
        boolean succeeded = stated.succeeded() || known.filter(HolderRow::succeeded).isPresent();
        ledger.holders()
                .put(
                        stated.holder(),
                        (succeeded ? latest.withSuccessor() : latest).withLostSpan(false));
    }

    private void restateMove(MoveRow stated) {
        Optional<MoveRow> known = ledger.moves().find(stated.spec().route());
        boolean isBehind =
                known.filter(MoveRow::isRunning).isPresent()
                        && (!stated.isRunning() || stated.revision() > known.get().revision());
        if (known.isEmpty() || isBehind) {
            ledger.moves().put(stated.spec().route(), stated);
        }
    }

    private void sumOpenTokens() {
        ledger.budgets()
                .where(row -> true)
                .forEach(row -> ledger.budgets().put(row.id(), row.withOpen(openTokens(row.id()))));
    }

    private long openTokens(BudgetId budget) {
        return ledger.grantsOf(budget).stream().mapToLong(GrantRow::openTokens).sum();
    }

    private static <T extends LedgerSnapshot.Row> Stream<T> rowsOf(
            EraStated record, Class<T> type) {
        return record.rows().stream().filter(type::isInstance).map(type::cast);
    }
}
