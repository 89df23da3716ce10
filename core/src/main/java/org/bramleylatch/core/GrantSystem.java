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
            GrantView view = viewOf(world, budgetRow.get(), nowMillis);
            execute(world, budget, policy.plan(view), view.demandTokensPerHour());
        } else if (grantUse.filter(GrantUseRow::askInFlight).isPresent()
                && world.waitingTokens(budget) > world.idleTokens(budget)) {
            world.writer().hurry();
        }
    }

    /** Returns what the policy decides on, for a budget that this keeper uses. */
    static GrantView viewOf(KeeperWorld world, BudgetRow budgetRow, long nowMillis) {
        BudgetId budget = budgetRow.id();
        Optional<GrantUseRow> use = world.grantUses().find(budget);
        return new GrantView(
                budgetRow,
                world.ledger().grantsOf(budget),
                world.self(),
                world.idleTokens(budget),
                world.waitingTokens(budget),
                use.map(row -> Math.round(row.demandTokensPerHourAt(nowMillis))).orElse(0L),
                use.map(GrantUseRow::requestTokens).orElse(0L));
    }

    private static void execute(
            KeeperWorld world, BudgetId budget, GrantPlan plan, long demandTokensPerHour) {
        if (plan.askTokens() > 0) {
            ask(world, budget, plan.askTokens(), demandTokensPerHour);
        } else if (plan.returnTokens() > 0) {
            long tokens = Math.min(plan.returnTokens(), world.idleTokens(budget));
            if (tokens > 0) {
                returnTokens(world, budget, tokens);
            }
        }
    }

    private static void ask(
            KeeperWorld world, BudgetId budget, long tokens, long demandTokensPerHour) {
        long neededTokens = Math.max(0, world.waitingTokens(budget) - world.idleTokens(budget));
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
