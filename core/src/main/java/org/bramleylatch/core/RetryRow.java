package org.bramleylatch.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Counts a back end's requests and retries in a sliding window. Within any window, this router's
 * retries stay within its retry allowance: a fraction of the requests plus its share of a burst
 * that is divided among all routers. Other systems call this a retry budget; here, a budget is
 * prepaid.
 *
 * @param buckets the counts by second, oldest first; seconds without a count are left out
 */
record RetryRow(List<Bucket> buckets) {
    private static final long BUCKET_MILLIS = 1_000;
    private static final long PERMILLE = 1_000;

    RetryRow {
        buckets = List.copyOf(buckets);
    }

    static RetryRow empty() {
        return new RetryRow(List.of());
    }

    /** Returns the row with one more request. */
    RetryRow withRequest(long nowMillis, long windowMillis) {
        return withCounts(nowMillis, windowMillis, 1, 0);
    }

    /** Returns the row with one more retry. */
    RetryRow withRetry(long nowMillis, long windowMillis) {
        return withCounts(nowMillis, windowMillis, 0, 1);
    }

    /** Returns true if one more retry stays within the allowance of this router. */
    boolean allows(long nowMillis, RouterLimits limits, int routerCount) {
        long oldestSecond = (nowMillis - limits.retryWindowMillis()) / BUCKET_MILLIS;
        long requests = 0;
        long retries = 0;
        for (Bucket bucket : buckets) {
            if (bucket.second() >= oldestSecond) {
                requests += bucket.requests();
                retries += bucket.retries();
            }
        }
        long allowedByRequests = requests * limits.retryPermille() / PERMILLE;
        return retries < allowedByRequests + limits.retryBurst() / Math.max(1, routerCount);
    }

    /** Returns the requests per second over the complete seconds that are counted. */
    double requestsPerSecond(long nowMillis) {
        long second = nowMillis / BUCKET_MILLIS;
        long oldestSecond = buckets.stream().mapToLong(Bucket::second).min().orElse(second);
        long requests =
                buckets.stream()
                        .filter(bucket -> bucket.second() < second)
                        .mapToLong(Bucket::requests)
                        .sum();
        return second == oldestSecond ? 0 : requests / (double) (second - oldestSecond);
    }

    private RetryRow withCounts(long nowMillis, long windowMillis, int requests, int retries) {
        long second = nowMillis / BUCKET_MILLIS;
        long oldestSecond = (nowMillis - windowMillis) / BUCKET_MILLIS;
        List<Bucket> after = new ArrayList<>();
        buckets.stream().filter(bucket -> bucket.second() >= oldestSecond).forEach(after::add);
        int last = after.size() - 1;
        if (last >= 0 && after.get(last).second() == second) {
            after.set(last, after.get(last).plus(requests, retries));
        } else {
            after.add(new Bucket(second, requests, retries));
        }
        return new RetryRow(after);
    }

    /** Holds the requests and retries counted in one second of the router's clock. */
    record Bucket(long second, int requests, int retries) {

        Bucket plus(int moreRequests, int moreRetries) {
            return new Bucket(second, requests + moreRequests, retries + moreRetries);
        }
    }
}
