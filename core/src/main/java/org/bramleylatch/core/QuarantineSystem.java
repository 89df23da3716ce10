package org.bramleylatch.core;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.bramleylatch.core.RequestRow.Stage;

/**
 * Quarantines the parts of prompts that crash endpoints, on the evidence of all routers, and tells
 * the other routers what this one has seen. Unanswered requests with a part that is quarantined now
 * are withdrawn from their endpoints, which may still save these.
 */
final class QuarantineSystem implements TickSystem<RouterWorld> {
    /** While a retrial is under way, its outcome is known in about this time. */
    private static final long MIN_RETRY_MILLIS = 1_000;

    @Override
    public void run(RouterWorld world, long nowMillis) {
        CrashTables tables = world.crashTables();
        tables.removeExpired(nowMillis);
        if (tables.takeChanged()) {
            update(
                    world,
                    CrashAnalysis.blame(tables.crashes().where(row -> true), tables.clears()),
                    nowMillis);
            scheduleExpiry(world);
        }
        if (tables.takeUnreported()) {
            report(world);
        }
    }

    /**
     * Returns the row that keeps the request from all endpoints; empty if it may be sent. Once the
     * retrial of a part is due, one router sends one request with it at a time, and each only once.
     * A request whose answer has begun has no part that crashes endpoints, and may be resumed
     * unless it crashes them as a whole.
     */
    static Optional<QuarantineRow> findBlocking(
            RouterWorld world, RequestRow request, long nowMillis) {
        List<PromptPartId> suspects =
                request.deliveredTokens() > 0
                        ? request.spec().wholeId().stream().toList()
                        : request.spec().suspectParts();
        return world.crashTables()
                .findQuarantined(suspects)
                .filter(row -> !isRetrial(world, request, row, nowMillis));
    }

    /** Refuses a request and says when the part is tested next. */
    static void refuse(RouterWorld world, RequestRow row, QuarantineRow cause, long nowMillis) {
        RequestCompletion.refuse(
                world,
                row,
                row.runState() == RunState.NOT_RUN
                        ? ResultCode.PROMPT_QUARANTINED
                        : ResultCode.ENDPOINT_FAILED,
                "the request, or a part of its prompt, crashes endpoints: " + cause.part().part(),
                Optional.of(Math.max(MIN_RETRY_MILLIS, cause.retrialAtMillis() - nowMillis)));
    }

    private static boolean isRetrial(
            RouterWorld world, RequestRow request, QuarantineRow row, long nowMillis) {
        boolean isDue = nowMillis >= row.retrialAtMillis() && request.attemptCount() == 0;
        return isDue
                && world.isChosenRouter(row.part().toString())
                && world.requests().where(other -> isRunningWith(other, row)).isEmpty();
    }

    private static void update(RouterWorld world, List<QuarantineRow> rows, long nowMillis) {
        Table<PromptPartId, QuarantineRow> quarantine = world.crashTables().quarantine();
        Map<PromptPartId, QuarantineRow> latest =
                rows.stream().collect(Collectors.toMap(QuarantineRow::part, Function.identity()));
        quarantine.keys().toList().stream()
                .filter(part -> !latest.containsKey(part))
                .forEach(part -> release(world, part));
        latest.values().forEach(row -> quarantine(world, row, nowMillis));
    }

    private static void release(RouterWorld world, PromptPartId part) {
        world.crashTables().quarantine().remove(part);
        world.note(
                EventKind.PART_RELEASED,
                part,
                "clears=" + world.crashTables().clears().getOrDefault(part, 0));
    }

    private static void quarantine(RouterWorld world, QuarantineRow row, long nowMillis) {
        Table<PromptPartId, QuarantineRow> quarantine = world.crashTables().quarantine();
        Optional<QuarantineRow> before = quarantine.find(row.part());
        quarantine.put(row.part(), row);
        if (before.filter(known -> known.crashes() >= row.crashes()).isEmpty()) {
            world.note(
                    EventKind.PART_QUARANTINED,
                    row.part(),
                    "crashes="
                            + row.crashes()
                            + " clears="
                            + row.clears()
                            + " retrialAtMillis="
                            + row.retrialAtMillis());
            world.requests()
                    .where(request -> isRunningWith(request, row) && request.deliveredTokens() == 0)
                    .forEach(request -> refuse(world, request, row, nowMillis));
        }
    }

    private static boolean isRunningWith(RequestRow request, QuarantineRow row) {
        return request.stage() == Stage.RUNNING
                && request.spec().suspectParts().contains(row.part());
    }

    private static void report(RouterWorld world) {
        CrashTables tables = world.crashTables();
        List<PartClears> clears =
                tables.ownClears()
                        .keys()
                        .map(part -> new PartClears(part, tables.ownClears().find(part).orElse(0)))
                        .filter(row -> row.clears() > 0)
                        .sorted((a, b) -> a.id().compareTo(b.id()))
                        .toList();
        world.reportAndStore(
                new CrashEvidence(world.self(), tables.ownCrashes().where(row -> true), clears));
    }

    private static void scheduleExpiry(RouterWorld world) {
        world.crashTables()
                .crashes()
                .rows()
                .mapToLong(CrashReport::crashedMillis)
                .min()
                .ifPresent(
                        oldestMillis ->
                                world.timers()
                                        .set(
                                                new RouterTimer.EvidenceExpiry(),
                                                oldestMillis + CrashTables.EVIDENCE_MILLIS));
    }
}
