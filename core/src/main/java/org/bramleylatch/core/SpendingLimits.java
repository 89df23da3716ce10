package org.bramleylatch.core;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.bramleylatch.core.LedgerRecord.HolderHeartbeat;

/**
 * Holds the heartbeats of a keeper of which any may be the last one in the log: the one that was
 * read back last, and those sent since.
 */
final class SpendingLimits {
    private final List<HolderHeartbeat> heartbeats = new ArrayList<>();
    private OptionalLong nowMillis = OptionalLong.empty();

    /** Applies the limits as of the given time; before the first call there are none. */
    void applyAt(long millis) {
        nowMillis = OptionalLong.of(millis);
    }

    void add(HolderHeartbeat heartbeat) {
        heartbeats.add(heartbeat);
    }

    /** Removes the heartbeats that the given one follows in the log. */
    void confirm(HolderHeartbeat heartbeat) {
        int index = heartbeats.indexOf(heartbeat);
        if (index > 0) {
            heartbeats.subList(0, index).clear();
        }
    }

    /** Returns the time of the newest heartbeat; empty before the first. */
    OptionalLong lastMillis() {
        return heartbeats.stream().mapToLong(HolderHeartbeat::heartbeatMillis).max();
    }

    /** Returns the lowest of the limits on the budget; 0 if a heartbeat names none. */
    long tokensOf(BudgetId budget) {
        return nowMillis.isEmpty() ? Long.MAX_VALUE : tokensAt(budget, nowMillis.getAsLong());
    }

    private long tokensAt(BudgetId budget, long millis) {
        return heartbeats.stream()
                .mapToLong(heartbeat -> heartbeat.limitAt(budget, millis))
                .min()
                .orElse(0);
    }
}
