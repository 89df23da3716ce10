package org.bramleylatch.core;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;

/**
 * Holds the administration API's own copy of the ledger and the calls whose proposed records were
 * not read back yet. Each result belongs to the oldest of these calls, as the log keeps the order
 * of a writer's records.
 */
public final class AdminWorld implements World<AdminInput, AdminOutput> {
    private final Mailbox<AdminInput> inbox = Mailbox.empty();
    private final Mailbox<AdminOutput> outbox = Mailbox.empty();
    private final Queue<Long> pendingCallIds = new ArrayDeque<>();
    private final LogWriter writer = LogWriter.empty();
    private final Incarnation self;
    private Ledger ledger = Ledger.empty();
    private LedgerFold fold = LedgerFold.of(ledger);

    private AdminWorld(Incarnation self) {
        this.self = self;
    }

    /** Creates a world that has read nothing from the log. */
    public static AdminWorld of(Incarnation self) {
        return new AdminWorld(self);
    }

    /**
     * Returns the systems of the administration API: process the inbox, then append to the log.
     *
     * @param failures handles the exceptions of messages and systems
     */
    public static Schedule<AdminWorld> schedule(KeeperLimits limits, FailureHandler failures) {
        return Schedule.of(
                failures,
                (world, now) -> world.processInbox(failures),
                (world, now) -> world.append(now, limits));
    }

    @Override
    public Mailbox<AdminInput> inbox() {
        return inbox;
    }

    @Override
    public Mailbox<AdminOutput> outbox() {
        return outbox;
    }

    @Override
    public OptionalLong nextDeadlineMillis() {
        return writer.dueMillis();
    }

    /** Returns the ledger up to the last record that was read. */
    public Ledger ledger() {
        return ledger;
    }

    private void processInbox(FailureHandler failures) {
        Dispatch<AdminInput, Boolean> handlers =
                Dispatch.<AdminInput, Boolean>empty()
                        .on(AdminInput.Proposed.class, this::propose)
                        .on(
                                AdminInput.FromLog.class,
                                input -> logUpdateHandlers().apply(input.update()));
        inbox.take(Integer.MAX_VALUE).forEach(failures.guard(handlers::apply));
    }

    private Dispatch<LogUpdate, Boolean> logUpdateHandlers() {
        return Dispatch.<LogUpdate, Boolean>empty()
                .on(LogUpdate.EntriesRead.class, this::foldEntries)
                .on(LogUpdate.SnapshotLoaded.class, this::loadSnapshot)
                .on(LogUpdate.BatchAppended.class, this::markAppended)
                .on(LogUpdate.EraBegan.class, began -> dropLedger())
                .on(LogUpdate.CaughtUp.class, caughtUp -> true)
                .on(
                        LogUpdate.ReachabilityReported.class,
                        LogUpdate.ReachabilityReported::reachable);
    }

    private boolean propose(AdminInput.Proposed proposal) {
        writer.add(proposal.record());
        return pendingCallIds.add(proposal.callId());
    }

    private boolean foldEntries(LogUpdate.EntriesRead read) {
        read.entries().forEach(this::fold);
        return true;
    }

    private void fold(LogEntry entry) {
        Optional<ResultCode> refusal = fold.apply(entry);
        boolean isRepeated = refusal.filter(ResultCode.RECORD_REPEATED::equals).isPresent();
        if (entry.writer().equals(self) && !isRepeated) {
            writer.markReadBack(entry.sequence());
            outbox.add(new AdminOutput.ProposalResult(pendingCallIds.remove(), refusal));
        }
    }

    private boolean dropLedger() {
        ledger = Ledger.empty();
        fold = LedgerFold.of(ledger);
        return true;
    }

    private boolean loadSnapshot(LogUpdate.SnapshotLoaded loaded) {
        boolean isNewer = loaded.snapshot().nextOffset() >= ledger.nextOffset();
        if (isNewer) {
            ledger = Ledger.of(loaded.snapshot());
            fold = LedgerFold.of(ledger);
            long appliedSequence = ledger.writers().find(self).map(WriterRow::sequence).orElse(0L);
            writer.inFlightUpTo(appliedSequence).forEach(this::reportUnknownOutcome);
        }
        return isNewer;
    }

    /**
     * Reports an unknown outcome for a record that a loaded snapshot already covers: the snapshot
     * does not say whether the record was accepted.
     */
    private void reportUnknownOutcome(SequencedRecord sequencedRecord) {
        writer.markReadBack(sequencedRecord.sequence());
        Optional<ResultCode> unknown = Optional.of(ResultCode.OUTCOME_UNKNOWN);
        outbox.add(new AdminOutput.ProposalResult(pendingCallIds.remove(), unknown));
    }

    private boolean markAppended(LogUpdate.BatchAppended appended) {
        writer.markAppended(appended.lastSequence());
        return true;
    }

    private void append(long nowMillis, KeeperLimits limits) {
        writer.takeDueBatch(nowMillis, limits, Optional::empty)
                .map(AdminOutput.AppendBatch::new)
                .ifPresent(outbox::add);
    }
}
