package org.bramleylatch.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Is what a back end's allowance for retries is counted from: its requests and its retries in the
 * last seconds. Over any window of that length, retries stay below a part of the requests and a
 * fixed number.
 *
 * @param slots the counts, one row for each second in which there was something to count
 */
record RetryRow(List<Slot> slots) {
    private static final long SLOT_MILLIS = 1_000;
    private static final long PERMILLE = 1_000;

    RetryRow {
        slots = List.copyOf(slots);
    }

    static RetryRow empty() {
        return new RetryRow(List.of());
    }

    RetryRow asked(long nowMillis, long windowMillis) {
        return counted(nowMillis, windowMillis, 1, 0);
    }

    RetryRow spent(long nowMillis, long windowMillis) {
        return counted(nowMillis, windowMillis, 0, 1);
    }

    /** Returns true if one more retry stays within the allowance. */
    boolean allows(long nowMillis, RouterLimits limits, int routers) {
        long oldest = (nowMillis - limits.retryWindowMillis()) / SLOT_MILLIS;
        long requests = 0;
        long retries = 0;
        for (Slot slot : slots) {
            if (slot.second() >= oldest) {
                requests += slot.requests();
                retries += slot.retries();
            }
        }
        long earned = requests * limits.retryPermille() / PERMILLE;
        return retries < earned + limits.retryBurst() / Math.max(1, routers);
    }

    private RetryRow counted(long nowMillis, long windowMillis, int requests, int retries) {
        long second = nowMillis / SLOT_MILLIS;
        long oldest = (nowMillis - windowMillis) / SLOT_MILLIS;
        List<Slot> after = new ArrayList<>();
        slots.stream().filter(slot -> slot.second() >= oldest).forEach(after::add);
        int last = after.size() - 1;
        if (last >= 0 && after.get(last).second() == second) {
            after.set(last, after.get(last).plus(requests, retries));
        } else {
            after.add(new Slot(second, requests, retries));
        }
        return new RetryRow(after);
    }

    /** Counts the requests and retries of one second. */
    record Slot(long second, int requests, int retries) {

        Slot plus(int moreRequests, int moreRetries) {
            return new Slot(second, requests + moreRequests, retries + moreRetries);
        }
    }
}
