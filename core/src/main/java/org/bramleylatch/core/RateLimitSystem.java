package org.bramleylatch.core;

/**
 * Updates this router's shares of the limits that endpoints name, drops limits that are over, and
 * sets the timer for the next permits while requests wait.
 */
final class RateLimitSystem implements TickSystem<RouterWorld> {
    private static final long SHARE_INTERVAL_MILLIS = 100;

    @Override
    public void run(RouterWorld world, long nowMillis) {
        if (world.rateLimits().size() == 0) {
            return;
        }
        world.rateLimits()
                .removeIf(row -> row.isOver(nowMillis) || !world.endpoints().has(row.endpoint()));
        world.heardLimits()
                .keys()
                .filter(source -> !world.rateLimits().has(source.endpoint()))
                .toList()
                .forEach(world.heardLimits()::remove);
        RateShare shares = new RateShare(world, nowMillis);
        world.rateLimits()
                .where(row -> nowMillis - row.filledMillis() >= SHARE_INTERVAL_MILLIS)
                .forEach(
                        row ->
                                world.rateLimits()
                                        .put(
                                                row.endpoint(),
                                                row.filled(shares.perSecond(row), nowMillis)));
        if (world.rateLimits().size() > 0 && nowMillis >= world.nextLimitReportMillis()) {
            new RateLimits(world, nowMillis).report();
        }
        if (!world.queuedRequests().isEmpty() && world.rateLimits().size() > 0) {
            world.timers().set(new RouterTimer.PermitCheck(), nowMillis + SHARE_INTERVAL_MILLIS);
        }
    }
}
