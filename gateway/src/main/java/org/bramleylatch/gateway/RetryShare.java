package org.bramleylatch.gateway;

import org.bramleylatch.core.RouterLimits;
import org.bramleylatch.platform.PlatformLimits;

/** Derives a router's limits from those of the platform, which hold for all routers together. */
final class RetryShare {
    /** The part of the fleet's allowed retries to use; the rest is for routers not known yet. */
    private static final int USED_PERCENT = 75;

    private static final int HUNDRED_PERCENT = 100;

    private RetryShare() {}

    /** Returns the limits of a router that shares its process with a keeper. */
    static RouterLimits routerLimits(PlatformLimits limits) {
        return RouterLimits.colocatedWithKeeper(
                limits.retryBurst() * USED_PERCENT / HUNDRED_PERCENT,
                limits.retryPermille() * USED_PERCENT / HUNDRED_PERCENT,
                limits.retryWindowMillis());
    }
}
