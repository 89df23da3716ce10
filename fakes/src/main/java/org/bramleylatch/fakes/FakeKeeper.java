package org.bramleylatch.fakes;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.function.Consumer;
import org.bramleylatch.core.GrantPolicy;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperLimits;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.KeeperSystems;
import org.bramleylatch.core.KeeperWorld;
import org.bramleylatch.core.LedgerCursor;
import org.bramleylatch.core.LedgerFeed;
import org.bramleylatch.core.Numbered;
import org.bramleylatch.core.Schedule;
import org.bramleylatch.core.Zone;

/** Drives a real keeper's world in virtual time, with a log that can be cut off from it. */
public final class FakeKeeper {
    private static final long LATENCY_MILLIS = 2;
    private static final long LATE_MILLIS = 900;

    private final VirtualTime time;
    private final FakeLog log;
    private final Zone zone;
    private final KeeperWorld world;
    private final Schedule<KeeperWorld> schedule;
    private final LedgerCursor cursor = LedgerCursor.atStart();
    private final Consumer<KeeperOutput> routers;
    private final Queue<AppendFault> faults = new ArrayDeque<>();
    private final List<KeeperInput> whilePaused = new ArrayList<>();
    private boolean connected = true;
    private boolean paused;
    private boolean alive = true;
    private boolean readDue;
    private long timerMillis = Long.MAX_VALUE;

    /** Starts a keeper; what it says to routers and endpoints goes to the consumer. */
    public FakeKeeper(
            VirtualTime time,
            FakeLog log,
            Zone zone,
            Incarnation self,
            GrantPolicy policy,
            KeeperLimits limits,
            Consumer<KeeperOutput> routers) {
        this.time = time;
        this.log = log;
        this.zone = zone;
        this.world = KeeperWorld.of(self);
        this.schedule = KeeperSystems.schedule(policy, limits);
        this.routers = routers;
        log.addReader(this::readSoon);
        readSoon();
    }

    /** Returns the keeper's tables. */
    public KeeperWorld world() {
        return world;
    }

    /** Returns the zone that the keeper is in. */
    public Zone zone() {
        return zone;
    }

    /** Returns true unless the keeper was killed. */
    public boolean isAlive() {
        return alive;
    }

    /** Returns true while the keeper is frozen. */
    public boolean isPaused() {
        return paused;
    }

    /** Gives the keeper a message; a frozen one gets it once it wakes. */
    public void deliver(KeeperInput input) {
        if (paused) {
            whilePaused.add(input);
        } else if (alive) {
            world.inbox().add(input);
            tick();
        }
    }

    /** Cuts the keeper off from the log, or connects it again. */
    public void setConnected(boolean isConnected) {
        connected = isConnected;
        readSoon();
    }

    /** Freezes the keeper, or wakes it. */
    public void setPaused(boolean isPaused) {
        paused = isPaused;
        if (!paused) {
            List<KeeperInput> missed = List.copyOf(whilePaused);
            whilePaused.clear();
            missed.forEach(this::deliver);
            readSoon();
            tick();
        }
    }

    /** Kills the keeper; nothing of it is left. */
    public void kill() {
        alive = false;
    }

    /** Lets the fault happen to the next append. */
    public void addFault(AppendFault fault) {
        faults.add(fault);
    }

    private void tick() {
        if (!alive || paused) {
            return;
        }
        do {
            schedule.tick(world, time.nowMillis());
            world.outbox().take(Integer.MAX_VALUE).forEach(this::carry);
        } while (!world.inbox().isEmpty());
        armTimer();
    }

    private void armTimer() {
        OptionalLong due = world.nextDeadlineMillis();
        if (due.isPresent() && due.getAsLong() < timerMillis) {
            timerMillis = due.getAsLong();
            time.at(Math.max(timerMillis, time.nowMillis() + 1), this::onTimer);
        }
    }

    private void onTimer() {
        if (time.nowMillis() >= timerMillis) {
            timerMillis = Long.MAX_VALUE;
            tick();
        }
    }

    private void carry(KeeperOutput output) {
        if (output instanceof KeeperOutput.AppendBatch batch) {
            append(batch.records());
        } else if (!(output instanceof KeeperOutput.Note)) {
            routers.accept(output);
        }
    }

    private void append(List<Numbered> batch) {
        AppendFault fault = faults.isEmpty() ? AppendFault.NONE : faults.remove();
        if (fault != AppendFault.LOST) {
            long delay = fault == AppendFault.LATE ? LATE_MILLIS : LATENCY_MILLIS;
            time.after(delay, () -> arrive(batch, fault));
        }
    }

    private void arrive(List<Numbered> batch, AppendFault fault) {
        if (!connected || !log.append(world.self(), batch)) {
            return;
        }
        if (fault == AppendFault.DOUBLED) {
            log.append(world.self(), batch);
        }
        if (fault != AppendFault.ANSWER_LOST) {
            long last = batch.get(batch.size() - 1).sequence();
            time.after(LATENCY_MILLIS, () -> answer(new LedgerFeed.AppendDone(last)));
        }
    }

    private void answer(LedgerFeed feed) {
        if (connected) {
            deliver(new KeeperInput.FromLog(feed));
        }
    }

    private void readSoon() {
        if (!readDue && alive) {
            readDue = true;
            time.after(LATENCY_MILLIS, this::read);
        }
    }

    private void read() {
        readDue = false;
        if (!alive || paused) {
            return;
        }
        if (!connected || log.isAway()) {
            deliver(new KeeperInput.FromLog(new LedgerFeed.LogSeen(false)));
            return;
        }
        if (cursor.readOffset() != LedgerCursor.EARLIEST && cursor.readOffset() < log.earliest()) {
            cursor.expired();
        }
        boolean wasScanning = cursor.isScanning();
        cursor.take(log.earliest(), log.from(cursor.readOffset()))
                .forEach(feed -> deliver(new KeeperInput.FromLog(feed)));
        if (wasScanning && !cursor.isScanning()) {
            readSoon();
        }
    }
}
