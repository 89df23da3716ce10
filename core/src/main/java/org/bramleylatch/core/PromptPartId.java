package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Identifies a part of a prompt, or a whole request, at one back end. The same text at two back
 * ends has two ids, since what one model can't process another may.
 *
 * @param part the caller's id of the part's text, or the request's fingerprint; equal texts have
 *     equal ids
 */
public record PromptPartId(String backEnd, String part) implements Comparable<PromptPartId> {
    private static final int MAX_DESCRIBED = 8;

    /** Rejects null components. */
    public PromptPartId {
        requireNonNull(backEnd, "back end");
        requireNonNull(part, "part");
    }

    /** Returns the parts' ids for a log line, separated by commas; at most the first eight. */
    static String describe(List<PromptPartId> parts) {
        String shown =
                parts.stream()
                        .limit(MAX_DESCRIBED)
                        .map(PromptPartId::part)
                        .collect(Collectors.joining(","));
        return parts.size() > MAX_DESCRIBED ? shown + ",..." : shown;
    }

    @Override
    public int compareTo(PromptPartId other) {
        int byBackEnd = backEnd.compareTo(other.backEnd);
        return byBackEnd == 0 ? part.compareTo(other.part) : byBackEnd;
    }

    @Override
    public String toString() {
        return backEnd + '/' + part;
    }
}
