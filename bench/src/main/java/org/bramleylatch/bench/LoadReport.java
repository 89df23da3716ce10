package org.bramleylatch.bench;

import org.HdrHistogram.Histogram;

/**
 * Holds the results of a load; the names of its components are the fields of the JSON report. A
 * chat whose answer has not ended 60 s after the last chat was sent is in none of the three counts
 * of outcomes.
 *
 * @param sent the number of chats sent
 * @param whole the number of answers that were complete
 * @param refused the number of chats answered with a status other than 200, or not at all
 * @param broken the number of answers that ended before their end marker
 * @param tokens the number of tokens received, and of events that report the usage or an error at
 *     the end
 * @param firstToken the time from when a chat was due to its first token
 * @param betweenTokens the time between two tokens of an answer, and from the last one to the usage
 */
record LoadReport(
        LoadPlan plan,
        long sent,
        long whole,
        long refused,
        long broken,
        long tokens,
        Times firstToken,
        Times betweenTokens) {

    /** Holds percentiles and the maximum of a distribution of times, in microseconds. */
    record Times(double p50Micros, double p95Micros, double p99Micros, double mostMicros) {
        private static final double NANOS_PER_MICRO = 1_000;

        static Times of(Histogram nanos) {
            return new Times(
                    nanos.getValueAtPercentile(50) / NANOS_PER_MICRO,
                    nanos.getValueAtPercentile(95) / NANOS_PER_MICRO,
                    nanos.getValueAtPercentile(99) / NANOS_PER_MICRO,
                    nanos.getMaxValue() / NANOS_PER_MICRO);
        }
    }
}
