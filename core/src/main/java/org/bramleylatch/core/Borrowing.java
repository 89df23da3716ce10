package org.bramleylatch.core;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Borrows tokens for a request from other routers' keepers if the router's own keeper lacks them.
 */
final class Borrowing {
    /** A keeper that lacked tokens is unlikely to have any before it next settles usage. */
    private static final long BACKOFF_MILLIS = 400;

    /**
     * A large odd factor that spreads similar hashes, so that the order differs between requests.
     */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

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
        ask(world, row, next.get());
        world.timers()
                .set(new RouterTimer.ReserveTimeout(id), nowMillis + limits.lenderTimeoutMillis());
    }

    /**
     * Returns the named lenders, then all other connected keepers in an order that depends on the
     * request.
     */
    static List<Incarnation> withAllConnectedKeepers(
            RouterWorld world, RequestRow row, List<Incarnation> namedLenders) {
        Comparator<Incarnation> byRequest =
                Comparator.comparingLong(
                        keeper -> (row.spec().key().low() ^ keeper.hashCode()) * HASH_MULTIPLIER);
        return Stream.concat(namedLenders.stream(), world.keepers().stream().sorted(byRequest))
                .filter(keeper -> row.keeper().filter(keeper::equals).isEmpty())
                .distinct()
                .toList();
    }

    private static void ask(RouterWorld world, RequestRow row, Incarnation keeper) {
        RequestSpec spec = row.spec();
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
        return world.keepers().contains(keeper) && !isBackedOff;
    }
}
