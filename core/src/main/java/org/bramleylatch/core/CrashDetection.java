package org.bramleylatch.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.bramleylatch.core.RouterInput.AttemptFailed;
import org.bramleylatch.core.RouterInput.EndpointProbed;
import org.bramleylatch.core.RouterInput.EndpointProbed.Outcome;

/**
 * Tells crashes of endpoints from other broken connections, and collects the prompts that were
 * running unanswered there. A crashed endpoint refuses a new connection; one that reset a single
 * connection accepts it, and one behind a network partition does not answer. An endpoint that is
 * leaving ends as planned, so its connections count for nothing.
 */
record CrashDetection(RouterWorld world, long nowMillis) {
    private static final int MAX_SUSPECTS = 64;

    /**
     * Records the request of an attempt whose connection broke, with the parts of its prompt if
     * that was before its first token.
     */
    void recordBrokenAttempt(AttemptRow attempt, AttemptFailed failed) {
        boolean isBroken = failed.cause() == AttemptFailed.Cause.CONNECTION_LOST;
        boolean isUnanswered = attempt.firstTokenLatencyMillis().isEmpty();
        Optional<EndpointRow> endpoint =
                world.endpoints()
                        .find(attempt.endpoint())
                        .filter(row -> !row.leavingSignals().isLeaving());
        List<SuspectPart> suspects =
                world.requests()
                        .find(attempt.request())
                        .map(row -> suspectsOf(row.spec(), isUnanswered))
                        .orElse(List.of());
        if (isBroken && endpoint.isPresent() && !suspects.isEmpty()) {
            record(new CrashReport(attempt.endpoint(), nowMillis, suspects));
        }
    }

    /** Counts a completed answer for every part of its prompt. */
    void recordCompletedAnswer(RequestSpec spec) {
        spec.suspectParts().forEach(part -> world.crashTables().addClear(part, nowMillis));
    }

    /**
     * Confirms or drops a suspected crash after a new connection to the endpoint was tried. A
     * connection that was tried before the crash and accepted shows nothing.
     */
    void applyProbe(EndpointProbed probed, long sentMillis) {
        Table<EndpointId, CrashReport> unconfirmed = world.crashTables().unconfirmed();
        unconfirmed
                .find(probed.endpoint())
                .filter(
                        report ->
                                probed.outcome() == Outcome.REFUSED
                                        || report.crashedMillis() <= sentMillis)
                .ifPresent(
                        report -> {
                            unconfirmed.remove(probed.endpoint());
                            applyProbe(report, probed);
                        });
    }

    /** Returns true if connections to the endpoint broke and no later probe has shown why. */
    boolean isUnconfirmed(EndpointId endpoint) {
        return world.crashTables().unconfirmed().has(endpoint);
    }

    /** Adds what another router, or an earlier run of this one, has seen. */
    boolean applyEvidence(CrashEvidence evidence) {
        if (evidence.router().equals(world.self())) {
            return false;
        }
        CrashTables tables = world.crashTables();
        boolean isOwnEarlierRun = evidence.router().isOtherRunOf(world.self());
        Consumer<CrashReport> addition =
                isOwnEarlierRun
                        ? crash -> tables.addOwnCrash(crash, nowMillis)
                        : crash -> tables.addCrash(crash, nowMillis);
        evidence.crashes().forEach(addition);
        evidence.clears()
                .forEach(clears -> tables.addReportedClears(evidence.router().value(), clears));
        return true;
    }

    private void record(CrashReport report) {
        CrashTables tables = world.crashTables();
        if (tables.ownCrashes().has(report.endpoint())) {
            tables.addOwnCrash(report, nowMillis);
            return;
        }
        boolean isProbed = tables.unconfirmed().has(report.endpoint());
        CrashReport merged =
                tables.unconfirmed()
                        .find(report.endpoint())
                        .map(known -> known.merge(report))
                        .orElse(report);
        tables.unconfirmed().put(report.endpoint(), merged);
        if (!isProbed) {
            new EndpointProbes(world, nowMillis).probe(report.endpoint());
        }
    }

    private void applyProbe(CrashReport report, EndpointProbed probed) {
        boolean isRefused = probed.outcome() == Outcome.REFUSED;
        world.note(
                isRefused ? EventKind.ENDPOINT_CRASHED : EventKind.ENDPOINT_CONNECTION_RESET,
                probed.endpoint(),
                "unanswered parts=" + describe(report) + " probe=" + probed.detail());
        if (isRefused) {
            world.crashTables().addOwnCrash(withMostSuspect(report), nowMillis);
        }
    }

    /** Keeps the parts with the fewest completed answers if there are too many to report. */
    private CrashReport withMostSuspect(CrashReport report) {
        List<SuspectPart> suspects = new ArrayList<>(report.suspects());
        suspects.sort(
                Comparator.comparingInt(
                        suspect ->
                                world.crashTables().recentClears().count(suspect.id(), nowMillis)));
        return new CrashReport(
                report.endpoint(),
                report.crashedMillis(),
                suspects.subList(0, Math.min(MAX_SUSPECTS, suspects.size())));
    }

    private static List<SuspectPart> suspectsOf(RequestSpec spec, boolean isUnanswered) {
        List<PromptPartId> parts = isUnanswered ? spec.promptParts() : List.of();
        List<SuspectPart> suspects = new ArrayList<>();
        for (int depth = 0; depth < parts.size(); depth++) {
            suspects.add(new SuspectPart(parts.get(depth), depth));
        }
        spec.wholeId().map(SuspectPart::whole).ifPresent(suspects::add);
        return suspects;
    }

    private static String describe(CrashReport report) {
        return PromptPartId.describe(report.suspects().stream().map(SuspectPart::id).toList());
    }
}
