package org.bramleylatch.core;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;

/** Holds the ledger as the administration API reads it, and the calls that wait for a verdict. */
public final class AdminWorld implements World<AdminInput, AdminOutput> {
    private final Mailbox<AdminInput> inbox = Mailbox.empty();
    private final Mailbox<AdminOutput> outbox = Mailbox.empty();
    private final Queue<Long> calls = new ArrayDeque<>();
    private final LogWriter writer = LogWriter.empty();
    private final Incarnation self;
    private Ledger ledger = Ledger.empty();
    private LedgerFold fold = LedgerFold.of(ledger);

    private AdminWorld(Incarnation self) {
        this.self = self;
    }

    /** Returns a world that has read nothing. */
    public static AdminWorld of(Incarnation self) {
        return new AdminWorld(self);
    }

    /** Returns the schedule of the administration API. */
    public static Schedule<AdminWorld> schedule(KeeperLimits limits) {
        return Schedule.of(AdminWorld::takeInbox, (world, now) -> world.append(now, limits));
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

    /** Returns the ledger as far as it was read. */
    public Ledger ledger() {
        return ledger;
    }

    private void takeInbox(long nowMillis) {
        Dispatch<AdminInput, Boolean> handlers =
                Dispatch.<AdminInput, Boolean>empty()
                        .on(AdminInput.Proposed.class, this::propose)
                        .on(AdminInput.FromLog.class, input -> feed().apply(input.feed()));
        inbox.take(Integer.MAX_VALUE).forEach(handlers::apply);
    }

    private Dispatch<LedgerFeed, Boolean> feed() {
        return Dispatch.<LedgerFeed, Boolean>empty()
                .on(LedgerFeed.EntriesRead.class, this::read)
                .on(LedgerFeed.SnapshotLoaded.class, this::load)
                .on(LedgerFeed.AppendDone.class, this::acknowledge)
                .on(LedgerFeed.CaughtUp.class, caughtUp -> true)
                .on(LedgerFeed.LogSeen.class, LedgerFeed.LogSeen::reachable);
    }

    private boolean propose(AdminInput.Proposed proposal) {
        writer.add(proposal.record());
        return calls.add(proposal.call());
    }

    private boolean read(LedgerFeed.EntriesRead read) {
        read.entries().forEach(this::fold);
        return true;
    }

    private void fold(LogEntry entry) {
        Optional<ResultCode> refusal = fold.apply(entry);
        boolean repeated = refusal.filter(ResultCode.RECORD_REPEATED::equals).isPresent();
        if (entry.writer().equals(self) && !repeated) {
            writer.readBack(entry.sequence());
            outbox.add(new AdminOutput.Judged(calls.remove(), refusal));
        }
    }

    private boolean load(LedgerFeed.SnapshotLoaded loaded) {
        boolean newer = loaded.image().nextOffset() >= ledger.nextOffset();
        if (newer) {
            ledger = Ledger.of(loaded.image());
            fold = LedgerFold.of(ledger);
            long taken = ledger.writers().find(self).map(WriterRow::sequence).orElse(0L);
            writer.inFlightUpTo(taken).forEach(this::loseVerdict);
        }
        return newer;
    }

    /** Tells a call whose record lies within a snapshot that its verdict can't be known. */
    private void loseVerdict(Numbered numbered) {
        writer.readBack(numbered.sequence());
        Optional<ResultCode> unknown = Optional.of(ResultCode.OUTCOME_UNKNOWN);
        outbox.add(new AdminOutput.Judged(calls.remove(), unknown));
    }

    private boolean acknowledge(LedgerFeed.AppendDone done) {
        writer.appended(done.lastSequence());
        return true;
    }

    private void append(long nowMillis, KeeperLimits limits) {
        writer.takeDue(nowMillis, limits, Optional::empty)
                .map(AdminOutput.AppendBatch::new)
                .ifPresent(outbox::add);
    }
}
