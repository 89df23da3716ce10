package org.bramleylatch.core;

/**
 * Appends the paid totals of the configuration that the ledger lacks, and notes when this keeper
 * has read those of its first configuration.
 */
final class FundingSystem implements TickSystem<KeeperWorld> {

    /** After this time a starting keeper takes it that no holder is there to append the funds. */
    private static final long HOLDER_WAIT_MILLIS = 3_000;

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        boolean isAlone =
                world.isCaughtUp()
                        && !world.isFunded()
                        && nowMillis >= world.startMillis() + HOLDER_WAIT_MILLIS;
        if (world.hasUncheckedFunds() && (world.isActive() || isAlone)) {
            world.setUncheckedFunds(false);
            world.configuredFunds()
                    .rows()
                    .filter(funds -> !isInLedger(world, funds))
                    .map(funds -> new LedgerRecord.BudgetFunded(funds.budget(), funds.paidTokens()))
                    .forEach(world::append);
        }
        if (!world.isFunded()
                && world.configuredFunds().rows().allMatch(funds -> isInLedger(world, funds))) {
            world.setFunded();
        }
    }

    private static boolean isInLedger(KeeperWorld world, BudgetFunds funds) {
        return world.ledger()
                .budgets()
                .find(funds.budget())
                .filter(row -> row.paidTokens() >= funds.paidTokens())
                .isPresent();
    }
}
