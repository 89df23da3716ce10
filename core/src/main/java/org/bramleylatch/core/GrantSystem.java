package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/** Asks for or returns tokens of each budget that changed, as the policy decides. */
record GrantSystem(GrantPolicy policy) implements TickSystem<KeeperWorld> {

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        List<BudgetId> budgets = List.copyOf(world.changedBudgets());
        world.changedBudgets().clear();
        budgets.stream().sorted().forEach(budget -> adjustGrant(world, budget, nowMillis));
    }

    private void adjustGrant(KeeperWorld world, BudgetId budget, long nowMillis) {
        Optional<BudgetRow> budgetRow = world.ledger().budgets().find(budget);
        Optional<GrantUseRow> grantUse = world.grantUses().find(budget);
        boolean hasNothingInFlight =
                grantUse.filter(row -> !row.askInFlight() && row.returningTokens() == 0)
                        .isPresent();
        if (budgetRow.isPresent()
                && hasNothingInFlight
                && !world.isStopping()
                && world.isLogReachable()) {
            long demandTokensPerHour = Math.round(grantUse.get().demandTokensPerHourAt(nowMillis));
            long requestTokens = grantUse.get().requestTokens();
            execute(
                    world,
                    budget,
                    policy.plan(
                            createView(world, budgetRow.get(), demandTokensPerHour, requestTokens)),
                    demandTokensPerHour);
        }
    }

    private GrantView createView(
            KeeperWorld world, BudgetRow budgetRow, long demandTokensPerHour, long requestTokens) {
        return new GrantView(
                budgetRow,
                world.ledger().grantsOf(budgetRow.id()),
                world.self(),
                world.idleTokens(budgetRow.id()),
                neededIdleTokens(world, budgetRow.id()),
                demandTokensPerHour,
                requestTokens);
    }

    private static long waitingTokens(KeeperWorld world, BudgetId budget) {
        return world.waitingReservations()
                .rows()
                .filter(row -> row.budget().equals(budget))
                .mapToLong(ReservationRow::tokens)
                .sum();
    }

    /**
     * Returns how many idle tokens this keeper needs for its usable share to cover the waiting
     * requests.
     */
    private static long neededIdleTokens(KeeperWorld world, BudgetId budget) {
        long missingTokens = missingTokens(world, budget);
        return missingTokens > 0
                ? world.idleTokens(budget) + missingTokens
                : Math.min(waitingTokens(world, budget), world.idleTokens(budget));
    }

    private static long missingTokens(KeeperWorld world, BudgetId budget) {
        long missingTokens = waitingTokens(world, budget) - world.availableTokens(budget);
        long wholePermille = UsableShareSystem.WHOLE_PERMILLE;
        return missingTokens <= 0
                ? 0
                : -Math.floorDiv(-missingTokens * wholePermille, world.usablePermille(budget));
    }

    private static void execute(
            KeeperWorld world, BudgetId budget, GrantPlan plan, long demandTokensPerHour) {
        if (plan.askTokens() > 0) {
            ask(world, budget, plan.askTokens(), demandTokensPerHour);
        } else if (plan.returnTokens() > 0) {
            long tokens = Math.min(plan.returnTokens(), returnableTokens(world, budget));
            if (tokens > 0) {
                returnTokens(world, budget, tokens);
            }
        }
    }

    /**
     * Returns how many tokens can be returned such that the committed ones stay within the usable
     * share.
     */
    private static long returnableTokens(KeeperWorld world, BudgetId budget) {
        long wholePermille = UsableShareSystem.WHOLE_PERMILLE;
        long committedTokens = world.openTokens(budget) - world.idleTokens(budget);
        return world.openTokens(budget)
                + Math.floorDiv(-committedTokens * wholePermille, world.usablePermille(budget));
    }

    private static void ask(
            KeeperWorld world, BudgetId budget, long tokens, long demandTokensPerHour) {
        long neededTokens = missingTokens(world, budget);
        world.append(
                new LedgerRecord.GrantAsked(
                        budget, world.self(), tokens, neededTokens, demandTokensPerHour));
        world.grantUses().update(budget, row -> row.withAskInFlight(true));
        world.note(EventKind.GRANT_ASKED, budget, "tokens=" + tokens + " needed=" + neededTokens);
    }

    /** Returns tokens of this keeper's grant to the budget, through the log. */
    static void returnTokens(KeeperWorld world, BudgetId budget, long tokens) {
        world.append(new LedgerRecord.GrantReturned(budget, world.self(), tokens));
        world.grantUses().update(budget, row -> row.addReturning(tokens));
        world.note(EventKind.GRANT_RETURNED, budget, "tokens=" + tokens);
    }
}
