package org.bramleylatch.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Describes the crash of an endpoint, as one or more routers saw it.
 *
 * @param crashedMillis the time of the crash by the clock of a router that saw it, in milliseconds
 *     since the epoch
 * @param suspects the parts of the prompts that the endpoint had not begun to answer, then the
 *     whole requests that it ran, each once
 */
public record CrashReport(EndpointId endpoint, long crashedMillis, List<SuspectPart> suspects) {
    private static final int MAX_SUSPECTS = 256;

    /**
     * Copies the list; of a part that occurs more than once, the deepest occurrence counts. Parts
     * come first, as whole requests, of which there is one for each request, would displace them.
     */
    public CrashReport {
        Map<PromptPartId, SuspectPart> byPart = new LinkedHashMap<>();
        suspects.forEach(suspect -> byPart.merge(suspect.id(), suspect, SuspectPart::deeper));
        suspects =
                byPart.values().stream()
                        .sorted(Comparator.comparing(SuspectPart::isWhole))
                        .limit(MAX_SUSPECTS)
                        .toList();
    }

    /** Returns the crash with the suspects of both reports; the earlier time counts. */
    CrashReport merge(CrashReport other) {
        List<SuspectPart> all = new ArrayList<>(suspects);
        all.addAll(other.suspects);
        return new CrashReport(endpoint, Math.min(crashedMillis, other.crashedMillis), all);
    }

    /** Returns true if the part is one of the suspects. */
    boolean suspects(PromptPartId part) {
        return suspects.stream().anyMatch(suspect -> suspect.id().equals(part));
    }
}
