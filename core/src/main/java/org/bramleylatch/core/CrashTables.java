package org.bramleylatch.core;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Holds what a router knows about prompts that crash endpoints: its own observations, those of all
 * routers, and the parts in quarantine that follow from them.
 */
final class CrashTables {
    /** Evidence older than this counts no more, so that a repaired model gets its prompts back. */
    static final long EVIDENCE_MILLIS = 10 * 60 * 1_000L;

    private static final int MAX_CRASHES = 512;
    private static final int MAX_OWN_CRASHES = 64;
    private static final int MAX_CLEAR_COUNTS = 20_000;

    private final Table<EndpointId, CrashReport> unconfirmed = Table.empty();
    private final Table<EndpointId, CrashReport> ownCrashes = Table.empty();
    private final Table<EndpointId, CrashReport> crashes = Table.empty();
    private final Table<PromptPartId, Integer> ownClears = Table.empty();
    private final Table<ReporterPart, Integer> reportedClears = Table.empty();
    private final Table<PromptPartId, QuarantineRow> quarantine = Table.empty();
    private final ClearedParts recentClears = new ClearedParts();
    private boolean changed;
    private boolean unreported;

    /** Names the part that a router counts clears of. */
    record ReporterPart(String router, PromptPartId part) {}

    /** Returns the broken connections of endpoints that are not known to have crashed yet. */
    Table<EndpointId, CrashReport> unconfirmed() {
        return unconfirmed;
    }

    /** Returns the crashes that this router saw itself. */
    Table<EndpointId, CrashReport> ownCrashes() {
        return ownCrashes;
    }

    /** Returns the crashes that any router saw. */
    Table<EndpointId, CrashReport> crashes() {
        return crashes;
    }

    /** Returns this router's completed answers by suspected part. */
    Table<PromptPartId, Integer> ownClears() {
        return ownClears;
    }

    /** Returns the parts whose requests are refused. */
    Table<PromptPartId, QuarantineRow> quarantine() {
        return quarantine;
    }

    ClearedParts recentClears() {
        return recentClears;
    }

    /** Returns the first of the parts that is in quarantine; empty if none is. */
    Optional<QuarantineRow> findQuarantined(List<PromptPartId> parts) {
        return quarantine.size() == 0
                ? Optional.empty()
                : parts.stream().flatMap(part -> quarantine.find(part).stream()).findFirst();
    }

    /** Adds a crash to those of all routers; an old one is ignored. */
    void addCrash(CrashReport report, long nowMillis) {
        if (Math.abs(nowMillis - report.crashedMillis()) > EVIDENCE_MILLIS) {
            return;
        }
        Optional<CrashReport> before = crashes.find(report.endpoint());
        CrashReport after = before.map(known -> known.merge(report)).orElse(report);
        if (before.filter(after::equals).isEmpty()) {
            crashes.put(report.endpoint(), after);
            report.suspects().forEach(suspect -> trackClears(suspect.id(), nowMillis));
            removeOldest(crashes, MAX_CRASHES);
            changed = true;
        }
    }

    /** Adds a crash that this router saw itself. */
    void addOwnCrash(CrashReport report, long nowMillis) {
        Optional<CrashReport> before = ownCrashes.find(report.endpoint());
        CrashReport after = before.map(known -> known.merge(report)).orElse(report);
        ownCrashes.put(report.endpoint(), after);
        removeOldest(ownCrashes, MAX_OWN_CRASHES);
        unreported = true;
        addCrash(after, nowMillis);
    }

    /**
     * Counts a completed answer on a prompt with the part. Other routers are told each time the
     * count of a suspected part has doubled, and of each answer on a part in quarantine.
     */
    void addClear(PromptPartId part, long nowMillis) {
        recentClears.add(part, nowMillis);
        ownClears
                .update(part, count -> count + 1)
                .ifPresent(
                        count -> {
                            boolean isPowerOfTwo = Integer.bitCount(count) == 1;
                            changed |= isPowerOfTwo || quarantine.has(part);
                            unreported |= isPowerOfTwo || quarantine.has(part);
                        });
    }

    /** Replaces another router's count of clears by a larger one. */
    void addReportedClears(String router, PartClears clears) {
        ReporterPart key = new ReporterPart(router, clears.id());
        if (clears.clears() > reportedClears.find(key).orElse(0)
                && reportedClears.size() < MAX_CLEAR_COUNTS) {
            reportedClears.put(key, clears.clears());
            changed = true;
        }
    }

    /** Returns the clears of each suspected part by all routers. */
    Map<PromptPartId, Integer> clears() {
        Map<PromptPartId, Integer> sums = new HashMap<>();
        ownClears.keys().forEach(part -> sums.put(part, ownClears.find(part).orElse(0)));
        reportedClears
                .keys()
                .forEach(
                        key ->
                                sums.merge(
                                        key.part(),
                                        reportedClears.find(key).orElse(0),
                                        Integer::sum));
        return sums;
    }

    /** Removes evidence that has expired, with the counts of parts that nothing is held against. */
    void removeExpired(long nowMillis) {
        boolean anyExpired =
                crashes.rows().anyMatch(row -> row.crashedMillis() + EVIDENCE_MILLIS <= nowMillis);
        if (anyExpired) {
            crashes.removeIf(row -> row.crashedMillis() + EVIDENCE_MILLIS <= nowMillis);
            ownCrashes.removeIf(row -> row.crashedMillis() + EVIDENCE_MILLIS <= nowMillis);
            ownClears.keys().toList().stream()
                    .filter(part -> !isSuspected(part))
                    .forEach(ownClears::remove);
            reportedClears.keys().toList().stream()
                    .filter(key -> !isSuspected(key.part()))
                    .forEach(reportedClears::remove);
            changed = true;
        }
    }

    /** Returns true once after the evidence has changed. */
    boolean takeChanged() {
        boolean before = changed;
        changed = false;
        return before;
    }

    /** Returns true once after there is something to tell other routers. */
    boolean takeUnreported() {
        boolean before = unreported;
        unreported = false;
        return before;
    }

    private boolean isSuspected(PromptPartId part) {
        return crashes.rows().anyMatch(crash -> crash.suspects(part));
    }

    private void trackClears(PromptPartId part, long nowMillis) {
        if (!ownClears.has(part)) {
            int recent = recentClears.count(part, nowMillis);
            ownClears.put(part, recent);
            unreported |= recent > 0;
        }
    }

    private static void removeOldest(Table<EndpointId, CrashReport> table, int maxRows) {
        if (table.size() > maxRows) {
            table.rows()
                    .min(Comparator.comparingLong(CrashReport::crashedMillis))
                    .map(CrashReport::endpoint)
                    .ifPresent(table::remove);
        }
    }
}
