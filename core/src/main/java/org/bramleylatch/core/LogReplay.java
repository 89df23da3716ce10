package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.LedgerRecord.GrantAsked;
import org.bramleylatch.core.LedgerRecord.GrantReturned;
import org.bramleylatch.core.LedgerRecord.HolderFrozen;
import org.bramleylatch.core.LedgerRecord.HolderTakenOver;
import org.bramleylatch.core.LedgerRecord.IntentDeclared;
import org.bramleylatch.core.LedgerRecord.UsageReported;
import org.bramleylatch.core.LedgerRecord.UsageSummed;

/**
 * Folds log entries and applies the effects of the keeper's own records once they are read back.
 */
final class LogReplay {

    private LogReplay() {}

    /** Folds one entry and updates the keeper's tables; a repeated record has no effect. */
    static void apply(KeeperWorld world, LogEntry entry) {
        if (world.transition().isPresent()) {
            applyInTransition(world, world.transition().get(), entry);
            return;
        }
        Optional<ResultCode> refusal = world.fold().apply(entry);
        boolean repeated = refusal.filter(ResultCode.RECORD_REPEATED::equals).isPresent();
        if (!repeated) {
            markChanged(world, entry.record());
            completeSettled(world, entry.record());
            if (entry.writer().equals(world.self())) {
                applyOwn(world, entry);
            }
        }
    }

    /**
     * Completes this keeper's records in flight and its pending usage as far as a newly loaded
     * snapshot already includes them.
     */
    static void reconcile(KeeperWorld world) {
        long foldedSequence =
                world.ledger().writers().find(world.self()).map(WriterRow::sequence).orElse(0L);
        List<SequencedRecord> folded = world.writer().inFlightUpTo(foldedSequence);
        folded.forEach(ownRecord -> applyOwn(world, ownRecord));
        world.pendingUsages()
                .where(row -> world.ledger().settledKeys().has(row.usage().key()))
                .forEach(row -> completeUsage(world, row));
    }

    /**
     * Folds an entry of a new era. Once this keeper's statement is read back, the new ledger has
     * its grants, and the keeper goes on with it.
     */
    private static void applyInTransition(
            KeeperWorld world, EraTransition transition, LogEntry entry) {
        transition.fold().apply(entry);
        boolean isOwnStatement =
                transition.isStating()
                        && entry.writer().equals(world.self())
                        && entry.record() instanceof LedgerRecord.EraStated stated
                        && stated.era() == transition.era();
        if (isOwnStatement) {
            complete(world, transition);
        }
    }

    /** Lets the keeper go on with the ledger of the new era. */
    static void complete(KeeperWorld world, EraTransition transition) {
        world.completeTransition(transition);
        world.grantUses()
                .where(row -> true)
                .forEach(row -> world.grantUses().put(row.budget(), row.withNothingInFlight()));
        reconcile(world);
        world.ledger().budgets().keys().forEach(world.changedBudgets()::add);
        world.setLogReachable(true);
        world.note(EventKind.LOG_BACK, world.self(), "position=" + world.position());
    }

    private static void applyOwn(KeeperWorld world, LogEntry entry) {
        applyOwn(world, new SequencedRecord(entry.sequence(), entry.record()));
    }

    private static void applyOwn(KeeperWorld world, SequencedRecord ownRecord) {
        world.writer().markReadBack(ownRecord.sequence());
        MessageHandlers.<LedgerRecord>empty()
                .on(GrantAsked.class, asked -> endAsk(world, asked))
                .on(GrantReturned.class, returned -> endReturn(world, returned))
                .on(IntentDeclared.class, declared -> answerIntent(world, declared))
                .on(UsageReported.class, reported -> completeRefused(world, reported))
                .on(HolderFrozen.class, frozen -> world.takeoversInFlight().remove(frozen.holder()))
                .on(HolderTakenOver.class, done -> world.takeoversInFlight().remove(done.holder()))
                .on(UsageSummed.class, summed -> endSum(world, summed))
                .on(
                        LedgerRecord.HolderHeartbeat.class,
                        heartbeat -> SpendingLimitSystem.confirm(world, heartbeat))
                .accept(ownRecord.record());
    }

    private static void endAsk(KeeperWorld world, GrantAsked asked) {
        world.grantUses().update(asked.budget(), row -> row.withAskInFlight(false));
    }

    private static void endSum(KeeperWorld world, UsageSummed summed) {
        if (summed.holder().equals(world.self())) {
            world.grantUses().update(summed.budget(), row -> row.addPending(-summed.tokens()));
        }
    }

    private static void endReturn(KeeperWorld world, GrantReturned returned) {
        world.grantUses().update(returned.budget(), row -> row.addReturning(-returned.tokens()));
    }

    private static void markChanged(KeeperWorld world, LedgerRecord record) {
        if (record instanceof LedgerRecord.BudgetRecord budgetRecord) {
            world.changedBudgets().add(budgetRecord.budget());
        } else if (record instanceof LedgerRecord.EraStated) {
            world.ledger().budgets().keys().forEach(world.changedBudgets()::add);
        } else if (record instanceof LedgerRecord.SnapshotPart part) {
            world.setSnapshotOffset(part.nextOffset());
            world.setSnapshotMillis(0);
        }
    }

    private static void completeSettled(KeeperWorld world, LedgerRecord record) {
        if (record instanceof UsageReported reported) {
            reported.usages().stream()
                    .filter(usage -> world.ledger().settledKeys().has(usage.key()))
                    .flatMap(usage -> world.pendingUsages().find(usage.key()).stream())
                    .forEach(row -> completeUsage(world, row));
        }
    }

    /** Completes usage that the fold refused, because a retry would be refused too. */
    private static void completeRefused(KeeperWorld world, UsageReported reported) {
        reported.usages().stream()
                .flatMap(usage -> world.pendingUsages().find(usage.key()).stream())
                .forEach(row -> completeUsage(world, row));
    }

    private static void completeUsage(KeeperWorld world, PendingUsageRow row) {
        RequestKey key = row.usage().key();
        world.pendingUsages().remove(key);
        if (row.grant().holder().equals(world.self())) {
            world.grantUses()
                    .update(
                            row.grant().budget(),
                            grantUse -> grantUse.addPending(-row.usage().tokens()));
        }
        row.router()
                .ifPresent(
                        router -> world.outbox().add(new KeeperOutput.UsageDurable(router, key)));
        world.note(EventKind.USAGE_SETTLED, key, "tokens=" + row.usage().tokens());
    }

    private static void answerIntent(KeeperWorld world, IntentDeclared declared) {
        world.timers().clear(new KeeperTimer.IntentTimeout(declared.key()));
        Optional<PendingIntentRow> ask = world.pendingIntents().remove(declared.key());
        Optional<IntentRow> winner = world.ledger().intents().find(declared.key());
        boolean won = winner.filter(row -> isDeclaredBy(row, declared, world)).isPresent();
        if (won && ask.filter(row -> !row.refused()).isEmpty()) {
            world.append(
                    new LedgerRecord.IntentFinished(
                            declared.key(), declared.router(), RunState.NOT_RUN, 0, ""));
            return;
        }
        ask.ifPresent(row -> sendOutcome(world, row, winner, won));
    }

    private static boolean isDeclaredBy(IntentRow row, IntentDeclared declared, KeeperWorld world) {
        return row.offset() == world.ledger().nextOffset() - 1
                && row.router().equals(declared.router());
    }

    private static void sendOutcome(
            KeeperWorld world, PendingIntentRow ask, Optional<IntentRow> winner, boolean won) {
        if (won) {
            world.outbox().add(new KeeperOutput.IntentWon(ask.router(), ask.key()));
            world.note(EventKind.INTENT_WON, ask.key(), "router=" + ask.router());
        } else if (winner.isPresent()) {
            world.outbox().add(new KeeperOutput.IntentLost(ask.router(), winner.get()));
            world.note(EventKind.INTENT_LOST, ask.key(), "router=" + ask.router());
        } else {
            world.outbox()
                    .add(
                            new KeeperOutput.IntentRefused(
                                    ask.router(), ask.key(), ResultCode.IDEMPOTENCY_KEY_EXPIRED));
        }
    }
}
