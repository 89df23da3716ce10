package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/**
 * Borrows tokens for a request from other routers' keepers if the router's own keeper lacks them.
 */
final class Borrowing {
    /** A keeper that lacked tokens is unlikely to have any before it next settles usage. */
    private static final long BACKOFF_MILLIS = 400;

    private Borrowing() {}

    /** Asks the next lender after a refusal, or refuses the request if none is left. */
    static void askNextLender(
            RouterWorld world,
            RequestRow row,
            List<Incarnation> namedLenders,
            RouterLimits limits,
            long nowMillis) {
        RequestId id = row.spec().id();
        boolean isFirstRefusal = !world.remainingLenders().has(id);
        List<Incarnation> lenders =
                isFirstRefusal ? namedLenders : world.remainingLenders().find(id).orElse(List.of());
        if (!isFirstRefusal) {
            row.keeper().ifPresent(keeper -> startBackoff(world, row, keeper, nowMillis));
        }
        Optional<Incarnation> next =
                lenders.stream()
                        .filter(keeper -> canBeAsked(world, row, keeper, nowMillis))
                        .findFirst();
        if (next.isEmpty()) {
            RequestCompletion.refuse(
                    world,
                    row,
                    ResultCode.BUDGET_UNAVAILABLE,
                    "no keeper could reserve enough tokens");
            return;
        }
        int consumedCount = lenders.indexOf(next.get()) + 1;
        world.remainingLenders()
                .put(id, List.copyOf(lenders.subList(consumedCount, lenders.size())));
        ask(world, row, next.get(), limits, nowMillis);
    }

    /** Asks one keeper; if it has no tokens either, the request is refused. */
    static void askOnly(
            RouterWorld world,
            RequestRow row,
            Incarnation keeper,
            RouterLimits limits,
            long nowMillis) {
        world.remainingLenders().put(row.spec().id(), List.of());
        ask(world, row, keeper, limits, nowMillis);
    }

    /**
     * Returns the named lenders, then the other keepers that may hold tokens of the budget, without
     * the one that was asked.
     */
    static List<Incarnation> possibleLenders(
            RouterWorld world, RequestRow row, List<Incarnation> namedLenders) {
        return new HolderOrder(world)
                .lenders(row.spec().budget().value(), namedLenders).stream()
                        .filter(keeper -> row.keeper().filter(keeper::equals).isEmpty())
                        .toList();
    }

    private static void ask(
            RouterWorld world,
            RequestRow row,
            Incarnation keeper,
            RouterLimits limits,
            long nowMillis) {
        RequestSpec spec = row.spec();
        world.timers()
                .set(
                        new RouterTimer.ReserveTimeout(spec.id()),
                        nowMillis + limits.lenderTimeoutMillis());
        world.requests().put(spec.id(), row.withKeeper(keeper));
        world.note(
                EventKind.LENDER_ASKED,
                spec.key(),
                "keeper=" + keeper + " budget=" + spec.budget());
        world.send(
                new RouterOutput.ToKeeper(
                        keeper,
                        new KeeperInput.ReserveAsked(
                                world.self(),
                                spec.key(),
                                spec.budget(),
                                spec.billableTokens(),
                                true)));
    }

    private static void startBackoff(
            RouterWorld world, RequestRow row, Incarnation keeper, long nowMillis) {
        GrantKey grant = GrantKey.of(row.spec().budget(), keeper);
        world.lenderBackoffUntilMillis().put(grant, nowMillis + BACKOFF_MILLIS);
    }

    private static boolean canBeAsked(
            RouterWorld world, RequestRow row, Incarnation keeper, long nowMillis) {
        GrantKey grant = GrantKey.of(row.spec().budget(), keeper);
        boolean isBackedOff =
                world.lenderBackoffUntilMillis()
                        .find(grant)
                        .filter(untilMillis -> nowMillis < untilMillis)
                        .isPresent();
        return world.keepers().contains(keeper)
                && !world.silentKeepers().contains(keeper)
                && !isBackedOff;
    }
}
