package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/** Asks for tokens and gives them back, as the policy says, for each budget that changed. */
record GrantSystem(GrantPolicy policy) implements TickSystem<KeeperWorld> {

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        List<BudgetId> budgets = List.copyOf(world.touched());
        world.touched().clear();
        budgets.stream().sorted().forEach(budget -> plan(world, budget, nowMillis));
    }

    private void plan(KeeperWorld world, BudgetId budget, long nowMillis) {
        Optional<BudgetRow> account = world.ledger().budgets().find(budget);
        Optional<HoldingRow> holding = world.holdings().find(budget);
        boolean idle =
                holding.filter(row -> !row.askInFlight() && row.returningTokens() == 0).isPresent();
        if (account.isPresent() && idle && !world.isStopping() && world.isLogReachable()) {
            long demand = Math.round(holding.get().demandAt(nowMillis));
            carryOut(world, budget, policy.plan(view(world, account.get(), demand)), demand);
        }
    }

    private GrantView view(KeeperWorld world, BudgetRow account, long demand) {
        return new GrantView(
                account,
                world.ledger().grantsOf(account.id()),
                world.self(),
                world.idleTokens(account.id()),
                neededIdleTokens(world, account.id()),
                demand);
    }

    private static long neededTokens(KeeperWorld world, BudgetId budget) {
        return world.waiting()
                .rows()
                .filter(row -> row.budget().equals(budget))
                .mapToLong(ReservationRow::tokens)
                .sum();
    }

    /** Returns how much this keeper must hold so that its usable share covers what waits. */
    private static long neededIdleTokens(KeeperWorld world, BudgetId budget) {
        long missing = missingTokens(world, budget);
        return missing > 0
                ? world.idleTokens(budget) + missing
                : Math.min(neededTokens(world, budget), world.idleTokens(budget));
    }

    private static long missingTokens(KeeperWorld world, BudgetId budget) {
        long missing = neededTokens(world, budget) - world.availableTokens(budget);
        long whole = UsableShareSystem.WHOLE_PERMILLE;
        return missing <= 0 ? 0 : -Math.floorDiv(-missing * whole, world.usablePermille());
    }

    private static void carryOut(
            KeeperWorld world, BudgetId budget, GrantPlan plan, long demandPerHour) {
        if (plan.askTokens() > 0) {
            ask(world, budget, plan.askTokens(), demandPerHour);
        } else if (plan.returnTokens() > 0) {
            long tokens = Math.min(plan.returnTokens(), spareTokens(world, budget));
            if (tokens > 0) {
                giveBack(world, budget, tokens);
            }
        }
    }

    /** Returns what can be given back so that what is bound stays within the usable share. */
    private static long spareTokens(KeeperWorld world, BudgetId budget) {
        long whole = UsableShareSystem.WHOLE_PERMILLE;
        long bound = world.openTokens(budget) - world.idleTokens(budget);
        return world.openTokens(budget) + Math.floorDiv(-bound * whole, world.usablePermille());
    }

    private static void ask(KeeperWorld world, BudgetId budget, long tokens, long demandPerHour) {
        long needed = missingTokens(world, budget);
        world.append(
                new LedgerRecord.GrantAsked(budget, world.self(), tokens, needed, demandPerHour));
        world.holdings().update(budget, row -> row.asking(true));
        world.note(EventKind.GRANT_ASKED, budget, "tokens=" + tokens + " needed=" + needed);
    }

    /** Gives tokens of the own grant back. */
    static void giveBack(KeeperWorld world, BudgetId budget, long tokens) {
        world.append(new LedgerRecord.GrantReturned(budget, world.self(), tokens));
        world.holdings().update(budget, row -> row.returning(tokens));
        world.note(EventKind.GRANT_RETURNED, budget, "tokens=" + tokens);
    }
}
