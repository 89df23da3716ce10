package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.LedgerRecord.BudgetCreated;
import org.bramleylatch.core.LedgerRecord.BudgetFunded;
import org.bramleylatch.core.LedgerRecord.BudgetToppedUp;
import org.bramleylatch.core.LedgerRecord.EraStated;
import org.bramleylatch.core.LedgerRecord.FrozenGrantReleased;
import org.bramleylatch.core.LedgerRecord.GrantAsked;
import org.bramleylatch.core.LedgerRecord.GrantReturned;
import org.bramleylatch.core.LedgerRecord.HolderFrozen;
import org.bramleylatch.core.LedgerRecord.HolderHeartbeat;
import org.bramleylatch.core.LedgerRecord.HolderRecord;
import org.bramleylatch.core.LedgerRecord.HolderTakenOver;
import org.bramleylatch.core.LedgerRecord.IntentDeclared;
import org.bramleylatch.core.LedgerRecord.IntentFinished;
import org.bramleylatch.core.LedgerRecord.MoveBegun;
import org.bramleylatch.core.LedgerRecord.MoveExpired;
import org.bramleylatch.core.LedgerRecord.MoveObserved;
import org.bramleylatch.core.LedgerRecord.MoveTakenBack;
import org.bramleylatch.core.LedgerRecord.SnapshotPart;
import org.bramleylatch.core.LedgerRecord.UsageReported;
import org.bramleylatch.core.LedgerRecord.UsageSummed;

/**
 * Folds records into a ledger. Whether a record is accepted depends only on the records before it,
 * so that every reader decides alike.
 */
public final class LedgerFold {
    private static final Optional<ResultCode> ACCEPTED = Optional.empty();
    private static final int EXPIRE_EVERY_RECORDS = 256;

    private final Ledger ledger;
    private final MoveRules moves;
    private final EraRules eras;
    private final Dispatch<LedgerRecord, Optional<ResultCode>> rules;
    private long offset;

    private LedgerFold(Ledger ledger) {
        this.ledger = ledger;
        this.moves = new MoveRules(ledger);
        this.eras = new EraRules(ledger);
        this.rules =
                Dispatch.<LedgerRecord, Optional<ResultCode>>empty()
                        .on(BudgetCreated.class, this::createBudget)
                        .on(BudgetFunded.class, this::fund)
                        .on(UsageSummed.class, this::settleSum)
                        .on(BudgetToppedUp.class, this::topUp)
                        .on(GrantAsked.class, this::grant)
                        .on(UsageReported.class, this::settle)
                        .on(GrantReturned.class, this::returnTokens)
                        .on(HolderFrozen.class, this::freezeHolder)
                        .on(HolderHeartbeat.class, this::recordHeartbeat)
                        .on(HolderTakenOver.class, this::takeOverHolder)
                        .on(EraStated.class, eras::state)
                        .on(FrozenGrantReleased.class, this::releaseFrozenGrant)
                        .on(IntentDeclared.class, this::declareIntent)
                        .on(IntentFinished.class, this::finishIntent)
                        .on(MoveBegun.class, record -> moves.begin(record, offset))
                        .on(LedgerRecord.MoveOrdered.class, record -> moves.order(record, offset))
                        .on(MoveObserved.class, record -> moves.observe(record, offset))
                        .on(MoveExpired.class, record -> moves.expire(record, offset))
                        .on(MoveTakenBack.class, record -> moves.takeBack(record, offset))
                        .on(SnapshotPart.class, part -> ACCEPTED);
    }

    /** Returns a fold that changes the given ledger. */
    public static LedgerFold of(Ledger ledger) {
        return new LedgerFold(ledger);
    }

    /**
     * Folds the next entry.
     *
     * @param entry the entry at the ledger's next offset; one before it is refused as repeated
     * @return why the record was refused; empty if it was accepted
     */
    public Optional<ResultCode> apply(LogEntry entry) {
        if (entry.offset() < ledger.nextOffset()) {
            return Optional.of(ResultCode.RECORD_REPEATED);
        }
        ledger.advance(entry);
        offset = entry.offset();
        expirePeriodically();
        if (isRepeated(entry)) {
            return Optional.of(ResultCode.RECORD_REPEATED);
        }
        if (ledger.statements().settle(ledger.logMillis())) {
            serveAllWaitingHolders();
        }
        return isOfReplacedHolder(entry)
                ? Optional.of(ResultCode.HOLDER_REPLACED)
                : eras.refuseUnsettled(entry.record()).or(() -> rules.apply(entry.record()));
    }

    /**
     * Returns true for any record of a holder that was taken over: its successor has counted what
     * the holder may have used, so that a record that is appended late must not count again.
     */
    private boolean isOfReplacedHolder(LogEntry entry) {
        boolean namesReplacedHolder =
                entry.record() instanceof HolderRecord record && hasSuccessor(record.holder());
        return namesReplacedHolder || hasSuccessor(entry.writer());
    }

    private boolean isRepeated(LogEntry entry) {
        Optional<WriterRow> previous = ledger.writers().find(entry.writer());
        if (previous.filter(row -> row.sequence() >= entry.sequence()).isPresent()) {
            return true;
        }
        ledger.writers()
                .put(
                        entry.writer(),
                        new WriterRow(entry.writer(), entry.sequence(), ledger.logMillis()));
        return false;
    }

    private void expirePeriodically() {
        if (offset % EXPIRE_EVERY_RECORDS == 0) {
            long oldestMillis = ledger.logMillis() - KeyWindow.SPAN_MILLIS;
            ledger.settledKeys().expire(ledger.logMillis());
            ledger.intents().removeIf(row -> KeyWindow.isExpired(row.key(), ledger.logMillis()));
            ledger.writers().removeIf(row -> row.lastMillis() < oldestMillis);
        }
    }

    private Optional<ResultCode> createBudget(BudgetCreated record) {
        if (ledger.budgets().has(record.budget())) {
            return Optional.of(ResultCode.BUDGET_EXISTS);
        }
        ledger.budgets().put(record.budget(), BudgetRow.of(record.budget()));
        return ACCEPTED;
    }

    private Optional<ResultCode> topUp(BudgetToppedUp record) {
        if (!ledger.budgets().has(record.budget())) {
            return Optional.of(ResultCode.UNKNOWN_BUDGET);
        }
        if (record.tokens() <= 0) {
            return Optional.of(ResultCode.FIELD_INVALID);
        }
        if (KeyWindow.isExpired(record.key(), ledger.logMillis())) {
            return Optional.of(ResultCode.IDEMPOTENCY_KEY_EXPIRED);
        }
        if (!ledger.settledKeys().add(record.key())) {
            return Optional.of(ResultCode.TOP_UP_REPEATED);
        }
        ledger.budgets().update(record.budget(), row -> row.addPaid(record.tokens()));
        serveWaitingHolders(record.budget());
        return ACCEPTED;
    }

    private Optional<ResultCode> fund(BudgetFunded record) {
        BudgetRow previous =
                ledger.budgets().findOrAdd(record.budget(), () -> BudgetRow.of(record.budget()));
        long addedTokens = record.totalTokens() - previous.paidTokens();
        if (addedTokens <= 0) {
            return Optional.of(ResultCode.TOP_UP_REPEATED);
        }
        ledger.budgets().put(record.budget(), previous.addPaid(addedTokens));
        serveWaitingHolders(record.budget());
        return ACCEPTED;
    }

    private Optional<ResultCode> settleSum(UsageSummed record) {
        GrantKey key = GrantKey.of(record.budget(), record.holder());
        Optional<GrantRow> grant =
                ledger.grants().find(key).filter(row -> row.openTokens() >= record.tokens());
        if (grant.isEmpty() || record.tokens() < 0) {
            return Optional.of(ResultCode.USAGE_OVER_GRANT);
        }
        ledger.grants().put(key, grant.get().settle(record.tokens()));
        ledger.budgets().update(record.budget(), row -> row.settle(record.tokens()));
        return ACCEPTED;
    }

    private Optional<ResultCode> grant(GrantAsked record) {
        Optional<BudgetRow> budget = ledger.budgets().find(record.budget());
        if (budget.isEmpty()) {
            return Optional.of(ResultCode.UNKNOWN_BUDGET);
        }
        long grantedTokens =
                Math.max(0, Math.min(ledger.grantableTokens(budget.get()), record.tokens()));
        long missingTokens = Math.max(0, record.neededTokens() - grantedTokens);
        GrantKey key = GrantKey.of(record.budget(), record.holder());
        GrantRow previous = ledger.grants().find(key).orElseGet(() -> GrantRow.of(key));
        ledger.putGrant(
                previous.addGranted(grantedTokens, missingTokens, record.demandTokensPerHour()));
        ledger.budgets().put(record.budget(), budget.get().addOpen(grantedTokens));
        return ACCEPTED;
    }

    /**
     * Settles each usage separately, so that a refused one does not prevent the others from being
     * settled.
     */
    private Optional<ResultCode> settle(UsageReported record) {
        GrantKey key = GrantKey.of(record.budget(), record.holder());
        if (!ledger.grants().has(key)) {
            return Optional.of(ResultCode.GRANT_UNKNOWN);
        }
        return record.usages().stream()
                .map(usage -> settle(key, usage))
                .flatMap(Optional::stream)
                .reduce((first, last) -> last);
    }

    private Optional<ResultCode> settle(GrantKey key, Usage usage) {
        if (KeyWindow.isExpired(usage.key(), ledger.logMillis())) {
            return Optional.of(ResultCode.IDEMPOTENCY_KEY_EXPIRED);
        }
        if (ledger.settledKeys().has(usage.key())) {
            return Optional.of(ResultCode.USAGE_ALREADY_SETTLED);
        }
        if (ledger.grants()
                .find(key)
                .filter(grant -> grant.openTokens() >= usage.tokens())
                .isEmpty()) {
            return Optional.of(ResultCode.USAGE_OVER_GRANT);
        }
        ledger.settledKeys().add(usage.key());
        ledger.grants().update(key, grant -> grant.settle(usage.tokens()));
        ledger.budgets().update(key.budget(), row -> row.settle(usage.tokens()));
        return ACCEPTED;
    }

    private Optional<ResultCode> returnTokens(GrantReturned record) {
        GrantKey key = GrantKey.of(record.budget(), record.holder());
        Optional<GrantRow> grant =
                ledger.grants().find(key).filter(row -> row.openTokens() >= record.tokens());
        if (grant.isEmpty() || record.tokens() < 0) {
            return Optional.of(ResultCode.GRANT_UNKNOWN);
        }
        returnToBudget(grant.get(), record.tokens());
        return ACCEPTED;
    }

    private Optional<ResultCode> freezeHolder(HolderFrozen record) {
        List<GrantKey> heldGrants =
                ledger.grants().keys().filter(key -> key.holder().equals(record.holder())).toList();
        heldGrants.forEach(key -> ledger.grants().update(key, GrantRow::freeze));
        return ACCEPTED;
    }

    private Optional<ResultCode> recordHeartbeat(HolderHeartbeat record) {
        if (!record.limits().stream().allMatch(SpendingLimit::isInRange)) {
            return Optional.of(ResultCode.FIELD_INVALID);
        }
        ledger.holders().put(record.holder(), HolderRow.of(record));
        return ACCEPTED;
    }

    private Optional<ResultCode> takeOverHolder(HolderTakenOver record) {
        Optional<HolderRow> holder =
                ledger.holders().find(record.holder()).filter(row -> !row.succeeded());
        if (holder.isEmpty()) {
            return Optional.of(ResultCode.GRANT_UNKNOWN);
        }
        if (record.endMillis() < holder.get().stampMillis()) {
            return Optional.of(ResultCode.FIELD_INVALID);
        }
        ledger.holders().put(record.holder(), holder.get().withSuccessor());
        boolean isInDoubt = holder.get().lostSpan();
        List<GrantKey> heldGrants =
                ledger.grants().keys().filter(key -> key.holder().equals(record.holder())).toList();
        heldGrants.forEach(
                key ->
                        freezeUnbilled(
                                key,
                                holder.get().spentTokensAt(key.budget(), record.endMillis()),
                                isInDoubt));
        return ACCEPTED;
    }

    /**
     * Freezes what the holder may have spent and not billed, and returns the rest. If the log lost
     * later heartbeats of the holder, nothing is returned, and what its pace allows beyond its
     * grant is frozen too, as it may have got a larger one.
     */
    private void freezeUnbilled(GrantKey key, long spentTokens, boolean isInDoubt) {
        GrantRow grant = ledger.grants().find(key).orElseThrow();
        BudgetRow budget = ledger.budgets().find(key.budget()).orElseThrow();
        long unbilledTokens = Math.max(0, spentTokens - grant.settledTokens());
        long unspentTokens = Math.max(0, grant.openTokens() - unbilledTokens);
        long beyondGrantTokens =
                Math.min(
                        Math.max(0, budget.freeTokens()),
                        Math.max(0, unbilledTokens - grant.openTokens()));
        long returnedTokens = isInDoubt ? -beyondGrantTokens : unspentTokens;
        long changedTokens = grant.frozen() ? 0 : returnedTokens;
        ledger.grants().put(key, grant.returnTokens(changedTokens).freeze());
        ledger.budgets().update(key.budget(), row -> row.addOpen(-changedTokens));
        serveWaitingHolders(key.budget());
    }

    private boolean hasSuccessor(Incarnation holder) {
        return ledger.holders().find(holder).filter(HolderRow::succeeded).isPresent();
    }

    private Optional<ResultCode> releaseFrozenGrant(FrozenGrantReleased record) {
        Optional<GrantRow> grant =
                ledger.grant(record.budget(), record.holder()).filter(GrantRow::frozen);
        if (grant.isEmpty()) {
            return Optional.of(ResultCode.GRANT_NOT_FROZEN);
        }
        returnToBudget(grant.get(), grant.get().openTokens());
        return ACCEPTED;
    }

    private void returnToBudget(GrantRow grant, long tokens) {
        GrantRow remaining = grant.returnTokens(tokens);
        if (remaining.openTokens() == 0 && remaining.wantedTokens() == 0) {
            ledger.removeGrant(grant.key());
        } else {
            ledger.grants().put(grant.key(), remaining);
        }
        ledger.budgets().update(grant.key().budget(), row -> row.addOpen(-tokens));
        serveWaitingHolders(grant.key().budget());
    }

    private void serveAllWaitingHolders() {
        ledger.budgets().keys().sorted().toList().forEach(this::serveWaitingHolders);
    }

    private void serveWaitingHolders(BudgetId budget) {
        ledger.grantsOf(budget).stream()
                .filter(grant -> grant.wantedTokens() > 0)
                .forEach(this::serveWaitingHolder);
    }

    private void serveWaitingHolder(GrantRow grant) {
        BudgetId budget = grant.key().budget();
        long freeTokens = ledger.budgets().find(budget).map(ledger::grantableTokens).orElse(0L);
        long grantedTokens = Math.min(freeTokens, grant.wantedTokens());
        long missingTokens = grant.wantedTokens() - grantedTokens;
        ledger.grants()
                .put(
                        grant.key(),
                        grant.addGranted(
                                grantedTokens, missingTokens, grant.demandTokensPerHour()));
        ledger.budgets().update(budget, row -> row.addOpen(grantedTokens));
    }

    private Optional<ResultCode> declareIntent(IntentDeclared record) {
        if (KeyWindow.isExpired(record.key(), ledger.logMillis())) {
            return Optional.of(ResultCode.IDEMPOTENCY_KEY_EXPIRED);
        }
        boolean claimed =
                ledger.intents()
                        .find(record.key())
                        .filter(row -> !row.canBeReclaimed())
                        .isPresent();
        if (claimed) {
            return Optional.of(ResultCode.REQUEST_IN_PROGRESS);
        }
        ledger.intents().put(record.key(), IntentRow.of(record.key(), record.router(), offset));
        return ACCEPTED;
    }

    private Optional<ResultCode> finishIntent(IntentFinished record) {
        Optional<IntentRow> unfinished =
                ledger.intents()
                        .find(record.key())
                        .filter(row -> !row.finished())
                        .filter(row -> row.router().equals(record.router()));
        if (unfinished.isEmpty()) {
            return Optional.of(ResultCode.OUTCOME_UNKNOWN);
        }
        ledger.intents()
                .put(
                        record.key(),
                        unfinished.get().finish(record.state(), record.status(), record.body()));
        return ACCEPTED;
    }
}
