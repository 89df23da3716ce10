package org.bramleylatch.core;

/**
 * Is a route's allowance for retries: each request adds a part of one, each retry takes one.
 *
 * @param permille the allowance, in thousandths of a retry
 */
record RetryRow(long permille) {
    private static final long ONE_PERMILLE = 1_000;
    private static final long MOST_PERMILLE = 20 * ONE_PERMILLE;

    static RetryRow full() {
        return new RetryRow(MOST_PERMILLE);
    }

    RetryRow earned(int morePermille) {
        return new RetryRow(Math.min(MOST_PERMILLE, permille + morePermille));
    }

    RetryRow spent() {
        return new RetryRow(permille - ONE_PERMILLE);
    }

    boolean allows() {
        return permille >= ONE_PERMILLE;
    }
}
