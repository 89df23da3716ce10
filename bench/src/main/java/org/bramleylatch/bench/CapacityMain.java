package org.bramleylatch.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntToDoubleFunction;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.BudgetId;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.FailureHandler;
import org.bramleylatch.core.GrantKey;
import org.bramleylatch.core.GrantPolicy;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperLimits;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.KeeperSystems;
import org.bramleylatch.core.KeeperWorld;
import org.bramleylatch.core.Ledger;
import org.bramleylatch.core.LedgerFold;
import org.bramleylatch.core.LedgerRecord;
import org.bramleylatch.core.LogEntry;
import org.bramleylatch.core.LogUpdate;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.Schedule;
import org.bramleylatch.core.SequencedRecord;
import org.bramleylatch.core.SnapshotAssembly;
import org.bramleylatch.core.Usage;
import org.bramleylatch.core.Zone;
import org.bramleylatch.edge.FromKeeperEnvelope;
import org.bramleylatch.edge.ToKeeperEnvelope;
import org.bramleylatch.wire.Cbor;
import org.bramleylatch.wire.Json;
import org.bramleylatch.wire.TimelineLine;
import org.bramleylatch.wire.WireEntry;

/**
 * Measures the costs on which docs/CAPACITY.md is based, at three sizes each: the processor time of
 * requests, records and timeline events, and the bytes in the log, in snapshots and on the
 * connection between router and keeper. The slope over the sizes is the cost of one item.
 */
public final class CapacityMain {
    private static final int[] REQUEST_COUNTS = {20_000, 40_000, 80_000};
    private static final int[] RECORD_COUNTS = {50_000, 100_000, 200_000};
    private static final int[] BUDGET_COUNTS = {1_000, 2_000, 4_000};
    private static final int[] SMALL_REQUEST_COUNTS = {1, 10, 100};
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final Incarnation KEEPER =
            Incarnation.of("keeper@langnau-vm-1-0123456789abcdef");
    private static final Incarnation ROUTER =
            Incarnation.of("router@langnau-vm-1-0123456789abcdef");

    /** Each size is measured this often; the smallest value counts. */
    private static final int ROUNDS = 3;

    private long sequence;

    private CapacityMain() {}

    /** Prints the slope, the fixed part and the residual of each fit. */
    public static void main(String[] arguments) {
        CapacityMain measurements = new CapacityMain();
        printFit(
                "keeper, reserve to settled, us a request",
                REQUEST_COUNTS,
                measurements::measureKeeperMicros);
        printFit(
                "any reader, decode and fold, us a record",
                RECORD_COUNTS,
                measurements::measureFoldMicros);
        printFit(
                "time line, encode, us an event",
                RECORD_COUNTS,
                measurements::measureTimelineMicros);
        printFit(
                "log, usage, bytes a request",
                SMALL_REQUEST_COUNTS,
                measurements::usageRecordBytes);
        printFit(
                "snapshot, bytes a budget with a grant",
                BUDGET_COUNTS,
                measurements::snapshotBytes);
        printFit(
                "link, bytes a request, both ways",
                SMALL_REQUEST_COUNTS,
                measurements::connectionBytes);
    }

    private static void printFit(String name, int[] sizes, IntToDoubleFunction measure) {
        List<LinearFit.Point> points = new ArrayList<>();
        for (int size : sizes) {
            double smallest = Double.MAX_VALUE;
            for (int round = 0; round < ROUNDS; round++) {
                smallest = Math.min(smallest, measure.applyAsDouble(size));
            }
            points.add(new LinearFit.Point(size, smallest));
        }
        LinearFit fit = LinearFit.of(points);
        System.out.printf(
                "%-44s %.2f each, %.0f fixed, residual %.1f%%  %s%n",
                name, fit.slope(), fit.intercept(), fit.relativeResidual() * 100, points);
    }

    private double measureKeeperMicros(int requests) {
        KeeperWorld world = KeeperWorld.of(KEEPER);
        Schedule<KeeperWorld> schedule =
                KeeperSystems.schedule(
                        GrantPolicy.byDemand(2, 4_000),
                        KeeperLimits.standalone().withSnapshotEveryRecords(Integer.MAX_VALUE / 2),
                        FailureHandler.rethrowing());
        List<LogEntry> log = new ArrayList<>();
        BudgetId budget = BudgetId.of("member-1");
        Incarnation operator = Incarnation.of("operator");
        appendRecords(
                log,
                operator,
                List.of(
                        new SequencedRecord(1, new LedgerRecord.BudgetCreated(budget, "w")),
                        new SequencedRecord(
                                2, new LedgerRecord.BudgetToppedUp(budget, newKey(), 1L << 50))));
        world.inbox().add(new KeeperInput.FromLog(new LogUpdate.EntriesRead(log)));
        long startNanos = System.nanoTime();
        for (int number = 0; number < requests; number++) {
            RequestKey key = newKey();
            long nowMillis = START_MILLIS + number * 20L;
            world.inbox().add(new KeeperInput.ReserveAsked(ROUTER, key, budget, 1_000));
            tickAndAppend(world, schedule, log, nowMillis);
            world.inbox()
                    .add(
                            new KeeperInput.UsageSubmitted(
                                    ROUTER, GrantKey.of(budget, KEEPER), Usage.of(key, 500)));
            tickAndAppend(world, schedule, log, nowMillis + 10);
        }
        return (System.nanoTime() - startNanos) / 1e3;
    }

    private static void tickAndAppend(
            KeeperWorld world, Schedule<KeeperWorld> schedule, List<LogEntry> log, long nowMillis) {
        schedule.tick(world, nowMillis);
        for (KeeperOutput output : world.outbox().take(Integer.MAX_VALUE)) {
            if (output instanceof KeeperOutput.AppendBatch batch) {
                int from = log.size();
                appendRecords(log, KEEPER, batch.records());
                List<LogEntry> appended = List.copyOf(log.subList(from, log.size()));
                world.inbox().add(new KeeperInput.FromLog(new LogUpdate.EntriesRead(appended)));
            }
        }
    }

    private static void appendRecords(
            List<LogEntry> log, Incarnation writer, List<SequencedRecord> records) {
        for (SequencedRecord record : records) {
            log.add(
                    new LogEntry(
                            log.size(), START_MILLIS, writer, record.sequence(), record.record()));
        }
    }

    private double measureFoldMicros(int records) {
        BudgetId budget = BudgetId.of("member-1");
        Ledger ledger = Ledger.empty();
        LedgerFold fold = LedgerFold.of(ledger);
        List<String> lines = new ArrayList<>(records);
        for (int number = 0; number < records; number++) {
            LedgerRecord record =
                    new LedgerRecord.UsageReported(
                            budget, KEEPER, List.of(Usage.of(newKey(), 500)));
            lines.add(WireEntry.encode(KEEPER, new SequencedRecord(number + 1, record)));
        }
        long startNanos = System.nanoTime();
        for (int number = 0; number < records; number++) {
            fold.apply(WireEntry.decode(number, START_MILLIS, lines.get(number)));
        }
        return (System.nanoTime() - startNanos) / 1e3;
    }

    private double measureTimelineMicros(int events) {
        long bytes = 0;
        long startNanos = System.nanoTime();
        for (int number = 0; number < events; number++) {
            String detail = "route=seilhelfer budget=member-1 worstCase=" + number;
            Event event = Event.of(EventKind.REQUEST_ARRIVED, newKey(), detail);
            bytes +=
                    Json.write(
                                    new TimelineLine(
                                            number,
                                            START_MILLIS,
                                            "router",
                                            ROUTER,
                                            Zone.of("langnau"),
                                            event))
                            .length();
        }
        // Depends on the bytes, so that the JIT compiler cannot remove the encoding.
        return bytes == 0 ? 0 : (System.nanoTime() - startNanos) / 1e3;
    }

    private double usageRecordBytes(int requests) {
        List<Usage> usages = new ArrayList<>();
        for (int number = 0; number < requests; number++) {
            usages.add(Usage.of(newKey(), 1_234));
        }
        LedgerRecord record =
                new LedgerRecord.UsageReported(BudgetId.of("member-123456"), KEEPER, usages);
        return WireEntry.encode(KEEPER, new SequencedRecord(123_456, record)).length();
    }

    private double snapshotBytes(int budgets) {
        Ledger ledger = Ledger.empty();
        LedgerFold fold = LedgerFold.of(ledger);
        List<LogEntry> log = new ArrayList<>();
        for (int number = 0; number < budgets; number++) {
            BudgetId budget = BudgetId.of("member-" + number);
            appendRecords(
                    log,
                    KEEPER,
                    List.of(
                            new SequencedRecord(
                                    3L * number + 1, new LedgerRecord.BudgetCreated(budget, "w")),
                            new SequencedRecord(
                                    3L * number + 2,
                                    new LedgerRecord.BudgetToppedUp(budget, newKey(), 1_000_000)),
                            new SequencedRecord(
                                    3L * number + 3,
                                    new LedgerRecord.GrantAsked(budget, KEEPER, 5_000, 0, 5_000))));
        }
        log.forEach(fold::apply);
        return SnapshotAssembly.split(ledger.snapshot()).stream()
                .mapToLong(part -> WireEntry.encode(KEEPER, new SequencedRecord(1, part)).length())
                .sum();
    }

    private double connectionBytes(int requests) {
        double bytes = 0;
        for (int number = 0; number < requests; number++) {
            bytes += connectionBytesOfOneRequest();
        }
        return bytes;
    }

    private double connectionBytesOfOneRequest() {
        RequestKey key = newKey();
        BudgetId budget = BudgetId.of("member-123456");
        GrantKey grant = GrantKey.of(budget, KEEPER);
        List<Object> messages =
                List.of(
                        toKeeper(new KeeperInput.ReserveAsked(ROUTER, key, budget, 4_000)),
                        toKeeper(
                                new KeeperInput.AttemptNoted(
                                        ROUTER,
                                        key,
                                        AttemptId.of("0123456789abcdef"),
                                        EndpointId.of("seilhelfer-17"))),
                        toKeeper(
                                new KeeperInput.UsageSubmitted(
                                        ROUTER, grant, Usage.of(key, 1_234))),
                        fromKeeper(new KeeperOutput.ReserveGranted(ROUTER, key, grant)),
                        fromKeeper(new KeeperOutput.UsageHeld(ROUTER, key)),
                        fromKeeper(new KeeperOutput.UsageDurable(ROUTER, key)));
        return messages.stream().mapToLong(message -> Cbor.write(message).length).sum();
    }

    /** Wraps a message with a hybrid logical clock, whose lowest 16 bits are a counter. */
    private static Object toKeeper(KeeperInput message) {
        return new ToKeeperEnvelope(START_MILLIS << 16, message);
    }

    private static Object fromKeeper(KeeperOutput message) {
        return new FromKeeperEnvelope(START_MILLIS << 16, message);
    }

    /** Returns an unused key; multiplying by 2^64 / golden ratio spreads the keys evenly. */
    private RequestKey newKey() {
        sequence++;
        return RequestKey.of(START_MILLIS, sequence * 0x9E3779B97F4A7C15L);
    }
}
