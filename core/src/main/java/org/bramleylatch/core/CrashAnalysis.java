package org.bramleylatch.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the parts of prompts that crash endpoints. A part is blamed if it was running unanswered at
 * several crashes and hardly any answer on it was ever completed. Crashes that a blamed part
 * explains count against no other part, so that the parts beside it in the same prompts stay free.
 */
final class CrashAnalysis {
    private static final int MIN_CRASHES = 2;
    private static final int MIN_CRASHES_PER_CLEAR = 2;
    private static final long FIRST_QUARANTINE_MILLIS = 30_000;
    private static final int MAX_DOUBLINGS = 4;

    /**
     * Orders by crashes explained, then by fewer clears. Of parts with the same evidence, the
     * deepest in the prompt is in the fewest other prompts, so that blaming it harms them least.
     */
    private static final Comparator<Candidate> BY_EVIDENCE =
            Comparator.comparingInt((Candidate candidate) -> candidate.crashes)
                    .thenComparing(candidate -> candidate.clears, Comparator.reverseOrder())
                    .thenComparingInt(candidate -> candidate.depth)
                    .thenComparing(candidate -> candidate.part);

    private CrashAnalysis() {}

    /**
     * Returns a row for each part to blame, the one that explains most crashes first.
     *
     * @param clears the completed answers by part of their prompts, over all routers
     */
    static List<QuarantineRow> blame(
            Collection<CrashReport> crashes, Map<PromptPartId, Integer> clears) {
        List<CrashReport> unexplained = new ArrayList<>(crashes);
        List<QuarantineRow> blamed = new ArrayList<>();
        Optional<Candidate> next = strongest(unexplained, clears);
        while (next.isPresent()) {
            PromptPartId part = next.get().part;
            blamed.add(next.get().toRow());
            unexplained.removeIf(crash -> crash.suspects(part));
            next = strongest(unexplained, clears);
        }
        return blamed;
    }

    private static Optional<Candidate> strongest(
            List<CrashReport> crashes, Map<PromptPartId, Integer> clears) {
        Map<PromptPartId, Candidate> candidates = new HashMap<>();
        for (CrashReport crash : crashes) {
            for (SuspectPart suspect : crash.suspects()) {
                candidates.merge(
                        suspect.id(),
                        new Candidate(
                                suspect.id(),
                                suspect.depth(),
                                1,
                                clears.getOrDefault(suspect.id(), 0),
                                crash.crashedMillis()),
                        Candidate::merge);
            }
        }
        return candidates.values().stream().filter(Candidate::isBlamed).max(BY_EVIDENCE);
    }

    private record Candidate(
            PromptPartId part, int depth, int crashes, int clears, long lastCrashMillis) {

        Candidate merge(Candidate other) {
            return new Candidate(
                    part,
                    Math.max(depth, other.depth),
                    crashes + other.crashes,
                    clears,
                    Math.max(lastCrashMillis, other.lastCrashMillis));
        }

        boolean isBlamed() {
            return crashes >= MIN_CRASHES && clears * MIN_CRASHES_PER_CLEAR < crashes;
        }

        QuarantineRow toRow() {
            int doublings = Math.min(MAX_DOUBLINGS, crashes - MIN_CRASHES);
            return new QuarantineRow(
                    part,
                    crashes,
                    clears,
                    lastCrashMillis + (FIRST_QUARANTINE_MILLIS << doublings));
        }
    }
}
