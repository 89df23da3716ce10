package org.bramleylatch.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bramleylatch.core.LedgerRecord.UsageReported;

/**
 * Sends queued records to the log, one batch at a time. A batch whose answer is unknown is sent
 * again with the same numbers, so that the fold takes each record once.
 */
final class AppendSystem implements TickSystem<KeeperWorld> {
    private final KeeperLimits limits;
    private long nextSendMillis;
    private long resendMillis;

    AppendSystem(KeeperLimits limits) {
        this.limits = limits;
    }

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        if (world.inFlight().isEmpty() && !world.toAppend().isEmpty()) {
            sendNext(world, nowMillis);
        } else if (isLate(world, nowMillis)) {
            send(world, nowMillis);
        }
        arm(world);
    }

    /** Returns the records with all usage of one grant in one record. */
    static List<LedgerRecord> coalesce(List<LedgerRecord> records) {
        Map<Object, LedgerRecord> merged = new LinkedHashMap<>();
        records.forEach(record -> merged.merge(identity(record), record, AppendSystem::join));
        return List.copyOf(merged.values());
    }

    private void sendNext(KeeperWorld world, long nowMillis) {
        if (nowMillis >= nextSendMillis) {
            coalesce(world.takeToAppend(limits.mostRecords())).stream()
                    .map(world::number)
                    .forEach(world.inFlight()::add);
            nextSendMillis = nowMillis + limits.appendIntervalMillis();
            send(world, nowMillis);
        }
    }

    private boolean isLate(KeeperWorld world, long nowMillis) {
        return !world.inFlight().isEmpty()
                && !world.isInFlightAppended()
                && nowMillis >= resendMillis;
    }

    private void send(KeeperWorld world, long nowMillis) {
        resendMillis = nowMillis + limits.appendRetryMillis();
        world.outbox().add(new KeeperOutput.AppendBatch(List.copyOf(world.inFlight())));
    }

    private void arm(KeeperWorld world) {
        if (!world.inFlight().isEmpty() && !world.isInFlightAppended()) {
            world.timers().set(new KeeperTimer.AppendDue(), resendMillis);
        } else if (world.inFlight().isEmpty() && !world.toAppend().isEmpty()) {
            world.timers().set(new KeeperTimer.AppendDue(), nextSendMillis);
        }
    }

    private static Object identity(LedgerRecord record) {
        return record instanceof UsageReported usage
                ? GrantKey.of(usage.budget(), usage.holder())
                : record;
    }

    private static LedgerRecord join(LedgerRecord first, LedgerRecord second) {
        List<Usage> usages = new ArrayList<>(((UsageReported) first).usages());
        usages.addAll(((UsageReported) second).usages());
        UsageReported head = (UsageReported) first;
        return new UsageReported(head.budget(), head.holder(), usages);
    }
}
