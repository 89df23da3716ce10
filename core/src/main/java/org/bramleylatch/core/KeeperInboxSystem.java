package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.bramleylatch.core.KeeperInput.AttemptNoted;
import org.bramleylatch.core.KeeperInput.AttemptUsageReported;
import org.bramleylatch.core.KeeperInput.FromLog;
import org.bramleylatch.core.KeeperInput.FundsConfigured;
import org.bramleylatch.core.KeeperInput.HolderSelected;
import org.bramleylatch.core.KeeperInput.IntentAsked;
import org.bramleylatch.core.KeeperInput.IntentEnded;
import org.bramleylatch.core.KeeperInput.MoveReported;
import org.bramleylatch.core.KeeperInput.ProcessStarted;
import org.bramleylatch.core.KeeperInput.ReservationReleased;
import org.bramleylatch.core.KeeperInput.ReserveAsked;
import org.bramleylatch.core.KeeperInput.RouterConnected;
import org.bramleylatch.core.KeeperInput.RouterDisconnected;
import org.bramleylatch.core.KeeperInput.StopAsked;
import org.bramleylatch.core.KeeperInput.UsageSubmitted;
import org.bramleylatch.core.LogUpdate.BatchAppended;
import org.bramleylatch.core.LogUpdate.CaughtUp;
import org.bramleylatch.core.LogUpdate.EntriesRead;
import org.bramleylatch.core.LogUpdate.ReachabilityReported;
import org.bramleylatch.core.LogUpdate.SnapshotLoaded;
import org.bramleylatch.core.ReservationRow.NotedAttempt;

/** Applies the messages that arrived to the keeper's tables and queues the answers. */
record KeeperInboxSystem(KeeperLimits limits, FailureHandler failures)
        implements TickSystem<KeeperWorld> {
    private static final int MAX_MESSAGES_PER_TICK = 2_000;

    private static final TickDispatch<Handlers, LogUpdate> LOG_UPDATE_HANDLERS =
            TickDispatch.<Handlers, LogUpdate>empty()
                    .on(EntriesRead.class, Handlers::applyEntries)
                    .on(SnapshotLoaded.class, Handlers::loadSnapshot)
                    .on(BatchAppended.class, Handlers::acknowledgeAppend)
                    .on(LogUpdate.EraBegan.class, Handlers::beginEra)
                    .on(CaughtUp.class, (tick, caughtUp) -> tick.reachEnd())
                    .on(ReachabilityReported.class, Handlers::updateLogReachability);

    private static final TickDispatch<Handlers, KeeperInput> HANDLERS =
            TickDispatch.<Handlers, KeeperInput>empty()
                    .on(ReserveAsked.class, (tick, ask) -> tick.reservations().reserve(ask))
                    .on(AttemptNoted.class, Handlers::noteAttempt)
                    .on(UsageSubmitted.class, Handlers::recordUsage)
                    .on(ReservationReleased.class, Handlers::releaseReservation)
                    .on(IntentAsked.class, Handlers::claimIntent)
                    .on(IntentEnded.class, Handlers::finishIntent)
                    .on(MoveReported.class, Handlers::appendMoveReport)
                    .on(KeeperInput.RouterReported.class, Handlers::relayReport)
                    .on(KeeperInput.MoveOrdered.class, Handlers::appendOrder)
                    .on(RouterConnected.class, Handlers::addRouter)
                    .on(RouterDisconnected.class, Handlers::removeRouter)
                    .on(AttemptUsageReported.class, Handlers::settleOrphan)
                    .on(FundsConfigured.class, Handlers::recordFunds)
                    .on(HolderSelected.class, Handlers::applySelection)
                    .on(ProcessStarted.class, Handlers::recordProcessStart)
                    .on(FromLog.class, Handlers::applyLogUpdate)
                    .on(StopAsked.class, (tick, message) -> tick.beginStop());

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        Handlers tick = new Handlers(world, limits, nowMillis);
        world.inbox()
                .take(MAX_MESSAGES_PER_TICK)
                .forEach(failures.guard(message -> HANDLERS.apply(tick, message)));
    }

    /**
     * Handles the messages of one tick. Each handler returns false if it refused or ignored the
     * message; the result is not used.
     */
    private record Handlers(KeeperWorld world, KeeperLimits limits, long nowMillis) {

        private ReservationRequests reservations() {
            return new ReservationRequests(world, limits, nowMillis);
        }

        private boolean applyLogUpdate(FromLog input) {
            LOG_UPDATE_HANDLERS.apply(this, input.update());
            return true;
        }

        private static NotedAttempt notedAttempt(AttemptNoted note) {
            return new NotedAttempt(note.attempt(), note.endpoint());
        }

        private boolean noteAttempt(AttemptNoted note) {
            return world.reservations()
                    .update(note.key(), row -> row.withAttempt(notedAttempt(note)))
                    .isPresent();
        }

        private boolean releaseReservation(ReservationReleased released) {
            Reservations.release(world, released.key(), graceEndMillis());
            return true;
        }

        private long graceEndMillis() {
            return nowMillis + limits.retryGraceMillis();
        }

        private boolean recordUsage(UsageSubmitted submitted) {
            if (limits.usageSummed()) {
                return billSummedUsage(submitted);
            }
            RequestKey key = submitted.usage().key();
            world.outbox().add(new KeeperOutput.UsageHeld(submitted.router(), key));
            if (world.pendingUsages().has(key)) {
                return false;
            }
            if (world.ledger().settledKeys().has(key)) {
                Reservations.remove(world, key);
                world.outbox().add(new KeeperOutput.UsageDurable(submitted.router(), key));
                return false;
            }
            Reservations.settle(
                    world, submitted.grant(), submitted.usage(), Optional.of(submitted.router()));
            return true;
        }

        private boolean billSummedUsage(UsageSubmitted submitted) {
            RequestKey key = submitted.usage().key();
            BudgetId budget = submitted.grant().budget();
            long tokens = submitted.usage().tokens();
            Reservations.remove(world, key);
            billSummedUsage(submitted.grant(), tokens);
            world.outbox().add(new KeeperOutput.UsageDurable(submitted.router(), key));
            world.note(EventKind.USAGE_HELD, key, "budget=" + budget + " tokens=" + tokens);
            return true;
        }

        private void billSummedUsage(GrantKey grant, long tokens) {
            if (grant.holder().equals(world.self())) {
                world.grantUses().update(grant.budget(), row -> row.addPending(tokens));
            }
            world.append(new LedgerRecord.UsageSummed(grant.budget(), grant.holder(), tokens));
        }

        private boolean recordFunds(FundsConfigured configured) {
            world.configuredFunds().removeIf(row -> true);
            configured.funds().forEach(funds -> world.configuredFunds().put(funds.budget(), funds));
            world.setUncheckedFunds(true);
            return true;
        }

        private boolean applySelection(HolderSelected selection) {
            boolean wasActive = world.isActive();
            world.setSelected(selection.selected());
            if (world.isCaughtUp() && world.isActive() && !wasActive) {
                appendFirstHeartbeat();
            }
            return true;
        }

        private boolean claimIntent(IntentAsked ask) {
            if (!world.isLogReachable() || world.isStopping()) {
                return refuseIntent(ask, ResultCode.LOG_UNAVAILABLE);
            }
            if (world.pendingIntents().has(ask.key())) {
                return refuseIntent(ask, ResultCode.REQUEST_IN_PROGRESS);
            }
            world.pendingIntents()
                    .put(ask.key(), new PendingIntentRow(ask.key(), ask.router(), false));
            KeeperTimer timeout = new KeeperTimer.IntentTimeout(ask.key());
            world.timers().set(timeout, nowMillis + limits.intentWaitMillis());
            world.append(new LedgerRecord.IntentDeclared(ask.key(), ask.router(), ask.budget()));
            return true;
        }

        private boolean refuseIntent(IntentAsked ask, ResultCode code) {
            world.outbox().add(new KeeperOutput.IntentRefused(ask.router(), ask.key(), code));
            return false;
        }

        private boolean finishIntent(IntentEnded end) {
            world.append(
                    new LedgerRecord.IntentFinished(
                            end.key(), end.router(), end.state(), end.status(), end.body()));
            world.note(EventKind.INTENT_FINISHED, end.key(), "status=" + end.status());
            return true;
        }

        private boolean appendMoveReport(MoveReported message) {
            world.append(message.report());
            return true;
        }

        private boolean appendOrder(KeeperInput.MoveOrdered ordered) {
            boolean isUnknown = !world.ledger().moves().has(ordered.spec().route());
            if (isUnknown && world.isCaughtUp()) {
                world.append(new LedgerRecord.MoveOrdered(ordered.spec()));
            }
            return isUnknown;
        }

        private boolean relayReport(KeeperInput.RouterReported reported) {
            RouterReport report = reported.report();
            world.routerReports().put(report.subject(), report);
            world.routers().stream()
                    .filter(router -> !router.equals(report.router()))
                    .map(router -> new KeeperOutput.ReportRelayed(router, report))
                    .forEach(world.outbox()::add);
            return true;
        }

        private boolean addRouter(RouterConnected connected) {
            world.routerReports()
                    .rows()
                    .map(report -> new KeeperOutput.ReportRelayed(connected.router(), report))
                    .forEach(world.outbox()::add);
            world.ledger()
                    .moves()
                    .rows()
                    .map(move -> new KeeperOutput.MoveChanged(connected.router(), move))
                    .forEach(world.outbox()::add);
            return world.routers().add(connected.router());
        }

        private boolean removeRouter(RouterDisconnected disconnected) {
            world.routers().remove(disconnected.router());
            world.waitingReservations()
                    .where(row -> row.router().equals(disconnected.router()))
                    .forEach(row -> Reservations.remove(world, row.key()));
            world.reservations()
                    .where(row -> row.router().equals(disconnected.router()))
                    .forEach(row -> Reservations.orphan(world, row, graceEndMillis()));
            return true;
        }

        private boolean settleOrphan(AttemptUsageReported report) {
            Optional<ReservationRow> row =
                    world.reservations().find(report.key()).filter(ReservationRow::orphaned);
            boolean usedNothing = report.tokens().equals(OptionalLong.of(0));
            if (usedNothing && row.flatMap(ReservationRow::lostAttempt).isPresent()) {
                Reservations.release(world, report.key(), nowMillis);
            } else if (row.isPresent() && report.tokens().isPresent()) {
                long tokens = Math.min(report.tokens().getAsLong(), row.get().tokens());
                GrantKey grant = GrantKey.of(row.get().budget(), world.self());
                if (limits.usageSummed()) {
                    Reservations.remove(world, report.key());
                    billSummedUsage(grant, tokens);
                } else {
                    Usage usage = Usage.of(report.key(), tokens);
                    Reservations.settle(world, grant, usage, Optional.empty());
                }
            }
            return row.isPresent();
        }

        private boolean applyEntries(EntriesRead read) {
            read.entries().forEach(entry -> LogReplay.apply(world, entry));
            read.entries().forEach(entry -> ClockAgreement.recordOffset(world, entry, nowMillis));
            return updateLogReachability(new ReachabilityReported(true));
        }

        private boolean loadSnapshot(SnapshotLoaded loaded) {
            if (world.transition().isPresent()) {
                world.transition().get().load(loaded.snapshot());
                return true;
            }
            if (loaded.snapshot().nextOffset() < world.ledger().nextOffset()) {
                return false;
            }
            world.load(loaded.snapshot());
            world.setSnapshotOffset(loaded.snapshot().nextOffset());
            LogReplay.reconcile(world);
            String detail = "nextOffset=" + loaded.snapshot().nextOffset();
            world.note(EventKind.SNAPSHOT_LOADED, world.self(), detail);
            return true;
        }

        private boolean acknowledgeAppend(BatchAppended appended) {
            world.writer().markAppended(appended.lastSequence());
            return true;
        }

        private boolean beginEra(LogUpdate.EraBegan began) {
            world.beginEra(began.era());
            if (world.transition().isPresent()) {
                world.setLogReachable(false);
            }
            String detail = "era=" + began.era() + " position=" + world.position();
            world.note(EventKind.ERA_BEGAN, world.self(), detail);
            return true;
        }

        private boolean reachEnd() {
            return world.transition().map(this::reachEndOfEra).orElseGet(this::markCaughtUp);
        }

        private boolean reachEndOfEra(EraTransition transition) {
            if (!transition.needsStatement(world)) {
                LogReplay.complete(world, transition);
                return true;
            }
            transition.setStating();
            state(transition);
            return true;
        }

        /** What was on its way is decided anew once the ledger has what this keeper states. */
        private void state(EraTransition transition) {
            world.writer().restartWith(transition.statement(world));
            world.takeoversInFlight().clear();
            world.setUncheckedFunds(world.isConfigured());
        }

        private boolean markCaughtUp() {
            world.setCaughtUp();
            if (world.position().era() > world.ledger().statements().era()
                    || world.ledger().statements().isAwaited(world.self())) {
                world.append(
                        new LedgerRecord.EraStated(
                                world.position().era(),
                                world.self(),
                                new LogPosition(0, 0),
                                List.of()));
            }
            world.ledger().budgets().keys().forEach(world.changedBudgets()::add);
            if (world.isActive()) {
                appendFirstHeartbeat();
            }
            return true;
        }

        private void appendFirstHeartbeat() {
            if (limits.spendingLimited()) {
                world.writer().addEmptyBatch();
            }
        }

        private boolean recordProcessStart(ProcessStarted started) {
            world.setStartTimes(started.bootMillis(), started.startMillis());
            return true;
        }

        private boolean updateLogReachability(ReachabilityReported reported) {
            if (world.transition().isPresent()) {
                return false;
            }
            if (world.isLogReachable() != reported.reachable()) {
                EventKind kind = reported.reachable() ? EventKind.LOG_BACK : EventKind.LOG_AWAY;
                world.note(kind, world.self(), "nextOffset=" + world.ledger().nextOffset());
                world.grantUses().keys().forEach(world.changedBudgets()::add);
            }
            if (reported.reachable()) {
                recordAnswer();
            }
            world.setLogReachable(reported.reachable());
            return true;
        }

        /** Lets the snapshots that other keepers wrote during an outage be read first. */
        private void recordAnswer() {
            long silentMillis = nowMillis - world.logAnsweredMillis();
            if (!world.isLogReachable() && silentMillis >= limits.snapshotEveryMillis()) {
                world.setSnapshotMillis(0);
            }
            world.setLogAnsweredMillis(nowMillis);
        }

        private boolean beginStop() {
            world.setStopping();
            return true;
        }
    }
}
