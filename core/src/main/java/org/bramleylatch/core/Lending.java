package org.bramleylatch.core;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** Asks the keepers of other routers for tokens that the own keeper lacks. */
final class Lending {
    /** A keeper that lacked tokens of a budget hardly has them before the next settlement. */
    private static final long REST_MILLIS = 400;

    /** A large odd number, so that like names come in unlike orders. */
    private static final long SPREAD = 0x9E3779B97F4A7C15L;

    private Lending() {}

    /** Asks the next lender, or refuses the request if none is left. */
    static void refused(
            RouterWorld world,
            RequestRow row,
            List<Incarnation> named,
            RouterLimits limits,
            long nowMillis) {
        RequestId id = row.spec().id();
        boolean first = !world.lenders().has(id);
        List<Incarnation> lenders = first ? named : world.lenders().find(id).orElse(List.of());
        if (!first) {
            row.keeper().ifPresent(keeper -> rest(world, row, keeper, nowMillis));
        }
        Optional<Incarnation> next =
                lenders.stream()
                        .filter(keeper -> isOpen(world, row, keeper, nowMillis))
                        .findFirst();
        if (next.isEmpty()) {
            Outcomes.refuse(world, row, ResultCode.BUDGET_UNAVAILABLE, "no tokens set aside");
            return;
        }
        int used = lenders.indexOf(next.get()) + 1;
        world.lenders().put(id, List.copyOf(lenders.subList(used, lenders.size())));
        ask(world, row, next.get());
        world.timers().set(new RouterTimer.ReserveWait(id), nowMillis + limits.lendMillis());
    }

    /** Returns the named lenders and behind them all others in reach, in turns. */
    static List<Incarnation> withAllInReach(
            RouterWorld world, RequestRow row, List<Incarnation> named) {
        Comparator<Incarnation> turn =
                Comparator.comparingLong(
                        keeper -> (row.spec().key().low() ^ keeper.hashCode()) * SPREAD);
        return Stream.concat(named.stream(), world.keepers().stream().sorted(turn))
                .filter(keeper -> row.keeper().filter(keeper::equals).isEmpty())
                .distinct()
                .toList();
    }

    private static void ask(RouterWorld world, RequestRow row, Incarnation keeper) {
        RequestSpec spec = row.spec();
        world.requests().put(spec.id(), row.asked(keeper));
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

    private static void rest(
            RouterWorld world, RequestRow row, Incarnation keeper, long nowMillis) {
        GrantKey holding = GrantKey.of(row.spec().budget(), keeper);
        world.lendersAtRest().put(holding, nowMillis + REST_MILLIS);
    }

    private static boolean isOpen(
            RouterWorld world, RequestRow row, Incarnation keeper, long nowMillis) {
        GrantKey holding = GrantKey.of(row.spec().budget(), keeper);
        boolean rests =
                world.lendersAtRest().find(holding).filter(until -> nowMillis < until).isPresent();
        return world.keepers().contains(keeper) && !rests;
    }
}
