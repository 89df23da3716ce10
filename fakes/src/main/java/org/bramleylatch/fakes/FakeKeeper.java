package org.bramleylatch.fakes;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.function.Consumer;
import org.bramleylatch.core.FailureHandler;
import org.bramleylatch.core.GrantPolicy;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperLimits;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.KeeperSystems;
import org.bramleylatch.core.KeeperWorld;
import org.bramleylatch.core.LedgerCursor;
import org.bramleylatch.core.LogUpdate;
import org.bramleylatch.core.Schedule;
import org.bramleylatch.core.SequencedRecord;
import org.bramleylatch.core.Zone;

/**
 * Runs the world and the systems of a real keeper in virtual time. Tests can disconnect it from the
 * log, pause it, kill it and inject faults into its appends.
 */
public final class FakeKeeper {
    private static final long LATENCY_MILLIS = 2;

    /** Longer than the 250 ms after which a standalone keeper sends a batch again. */
    private static final long LATE_APPEND_MILLIS = 900;

    private final VirtualTime time;
    private final FakeLog log;
    private final Zone zone;
    private final KeeperWorld world;
    private final Schedule<KeeperWorld> schedule;
    private LedgerCursor cursor = LedgerCursor.atStart();
    private long era;
    private final Consumer<KeeperOutput> outputConsumer;
    private final Queue<AppendFault> pendingFaults = new ArrayDeque<>();
    private final List<KeeperInput> deferredInputs = new ArrayList<>();
    private boolean connected = true;
    private boolean paused;
    private boolean alive = true;
    private boolean readScheduled;
    private boolean endReached;
    private long timerMillis = Long.MAX_VALUE;

    /**
     * Starts a keeper that reads the log from its beginning.
     *
     * @param outputConsumer receives the messages to routers and endpoints
     */
    public FakeKeeper(
            VirtualTime time,
            FakeLog log,
            Zone zone,
            Incarnation self,
            GrantPolicy policy,
            KeeperLimits limits,
            Consumer<KeeperOutput> outputConsumer) {
        this.time = time;
        this.log = log;
        this.zone = zone;
        this.world = KeeperWorld.of(self);
        this.schedule = KeeperSystems.schedule(policy, limits, FailureHandler.rethrowing());
        this.outputConsumer = outputConsumer;
        log.addReader(this::scheduleRead);
        scheduleRead();
    }

    /** Returns the keeper's world, with its tables as the last tick left them. */
    public KeeperWorld world() {
        return world;
    }

    /** Returns the availability zone that the keeper runs in. */
    public Zone zone() {
        return zone;
    }

    /** Returns true unless the keeper was killed. */
    public boolean isAlive() {
        return alive;
    }

    /** Returns true while the keeper runs no ticks and defers the messages to it. */
    public boolean isPaused() {
        return paused;
    }

    /** Delivers a message; a paused keeper gets it once it is resumed, a killed one never. */
    public void deliver(KeeperInput input) {
        if (paused) {
            deferredInputs.add(input);
        } else if (alive) {
            world.inbox().add(input);
            tick();
        }
    }

    /** Disconnects the keeper from the log, or connects it again. */
    public void setConnected(boolean isConnected) {
        connected = isConnected;
        scheduleRead();
    }

    /** Pauses the keeper, or resumes it and delivers the messages that arrived meanwhile. */
    public void setPaused(boolean isPaused) {
        paused = isPaused;
        if (!paused) {
            List<KeeperInput> deferred = List.copyOf(deferredInputs);
            deferredInputs.clear();
            deferred.forEach(this::deliver);
            scheduleRead();
            tick();
        }
    }

    /** Kills the keeper permanently; the fleet loses what is only in its tables. */
    public void kill() {
        alive = false;
    }

    /** Injects the fault into the next append that has none yet. */
    public void addFault(AppendFault fault) {
        pendingFaults.add(fault);
    }

    private void tick() {
        if (!alive || paused) {
            return;
        }
        do {
            schedule.tick(world, time.nowMillis());
            world.outbox().take(Integer.MAX_VALUE).forEach(this::handleOutput);
        } while (!world.inbox().isEmpty());
        armTimer();
    }

    private void armTimer() {
        OptionalLong due = world.nextDeadlineMillis();
        if (due.isPresent() && due.getAsLong() < timerMillis) {
            timerMillis = due.getAsLong();
            time.runAt(Math.max(timerMillis, time.nowMillis() + 1), this::runTimer);
        }
    }

    private void runTimer() {
        if (time.nowMillis() >= timerMillis) {
            timerMillis = Long.MAX_VALUE;
            tick();
        }
    }

    private void handleOutput(KeeperOutput output) {
        if (output instanceof KeeperOutput.AppendBatch batch) {
            append(batch.records());
        } else if (!(output instanceof KeeperOutput.Note)) {
            outputConsumer.accept(output);
        }
    }

    private void append(List<SequencedRecord> batch) {
        AppendFault fault = pendingFaults.isEmpty() ? AppendFault.NONE : pendingFaults.remove();
        if (fault != AppendFault.LOST) {
            long delay = fault == AppendFault.LATE ? LATE_APPEND_MILLIS : LATENCY_MILLIS;
            time.runAfter(delay, () -> commitBatch(batch, fault));
        }
    }

    private void commitBatch(List<SequencedRecord> batch, AppendFault fault) {
        if (!connected || !log.append(world.self(), batch)) {
            return;
        }
        if (fault == AppendFault.DOUBLED) {
            log.append(world.self(), batch);
        }
        if (fault != AppendFault.ANSWER_LOST) {
            long last = batch.get(batch.size() - 1).sequence();
            time.runAfter(LATENCY_MILLIS, () -> deliverFromLog(new LogUpdate.BatchAppended(last)));
        }
    }

    private void deliverFromLog(LogUpdate update) {
        if (connected) {
            deliver(new KeeperInput.FromLog(update));
        }
    }

    private void beginEra() {
        era = log.era();
        cursor = LedgerCursor.atStart();
        endReached = false;
        deliver(new KeeperInput.FromLog(new LogUpdate.EraBegan(era)));
    }

    private void scheduleRead() {
        if (!readScheduled && alive) {
            readScheduled = true;
            time.runAfter(LATENCY_MILLIS, this::read);
        }
    }

    private void read() {
        readScheduled = false;
        if (!alive || paused) {
            return;
        }
        if (connected && !log.isUnavailable()) {
            readLog();
        } else {
            deliver(new KeeperInput.FromLog(new LogUpdate.ReachabilityReported(false)));
        }
    }

    private void readLog() {
        if (era != log.era()) {
            beginEra();
        }
        if (cursor.readOffset() != LedgerCursor.EARLIEST
                && cursor.readOffset() < log.earliestOffset()) {
            cursor.markExpired();
        }
        boolean wasSearching = cursor.isSearching();
        cursor.advance(log.earliestOffset(), log.readFrom(cursor.readOffset()))
                .forEach(update -> deliver(new KeeperInput.FromLog(update)));
        if (wasSearching && !cursor.isSearching()) {
            scheduleRead();
        } else if (!endReached && !cursor.isSearching()) {
            endReached = true;
            deliver(new KeeperInput.FromLog(new LogUpdate.CaughtUp()));
        }
    }
}
