package org.bramleylatch.bench;

import org.HdrHistogram.Histogram;

/**
 * Tells what came of a load.
 *
 * @param sent chats that were sent
 * @param whole answers that were whole
 * @param refused chats that were refused
 * @param broken answers that broke off
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

    /** Is a distribution of times, in microseconds. */
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
