package org.bramleylatch.core;

/**
 * Is a back end's allowance for retries: each request adds a part of one, each retry takes one.
 *
 * @param permille the allowance, in thousandths of a retry
 */
record RetryRow(long permille) {
    private static final long ONE_PERMILLE = 1_000;

    static RetryRow of(int retries) {
        return new RetryRow(retries * ONE_PERMILLE);
    }

    RetryRow earned(int morePermille, int mostRetries) {
        return new RetryRow(Math.min(mostRetries * ONE_PERMILLE, permille + morePermille));
    }

    RetryRow spent() {
        return new RetryRow(permille - ONE_PERMILLE);
    }

    boolean allows() {
        return permille >= ONE_PERMILLE;
    }
}
