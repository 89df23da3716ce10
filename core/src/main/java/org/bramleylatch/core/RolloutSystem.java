package org.bramleylatch.core;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Carries out an operator's order to move a back end to another version as a planned move. Every
 * router proposes the move until the log has it, and the first proposal counts, so no router is in
 * charge. The move's end is reported by every router that is still running.
 */
final class RolloutSystem implements TickSystem<RouterWorld> {
    /**
     * The share of the requests that test the new version; below the tenth that a bad version may
     * get.
     */
    private static final List<Integer> STAGES_PERMILLE = List.of(40, 80);

    private static final int GOOD_PER_STAGE = 15;
    private static final long PROPOSAL_INTERVAL_MILLIS = 500;

    /** Answers at the old version end in this time; its endpoints stop once a success is told. */
    private static final long OLD_ANSWERS_MILLIS = 2_000;

    private static final long REPORT_MARGIN_MILLIS = 1_000;

    @Override
    public void run(RouterWorld world, long nowMillis) {
        world.rollouts().where(row -> true).forEach(row -> update(world, row, nowMillis));
    }

    /** Follows an order unless the router knows a later one for the back end. */
    static boolean apply(RouterWorld world, RolloutOrder order, long nowMillis) {
        boolean isNewer =
                world.rollouts()
                        .find(order.backEnd())
                        .filter(row -> row.order().orderId() >= order.orderId())
                        .isEmpty();
        if (isNewer) {
            world.rollouts().put(order.backEnd(), RolloutRow.of(order, nowMillis));
            new OrderedVersions(world).recordOrder(order);
            world.note(
                    EventKind.ROLLOUT_ORDERED,
                    order.moveName(),
                    "target=" + order.target() + " durationMillis=" + order.durationMillis());
        }
        return isNewer;
    }

    private static void update(RouterWorld world, RolloutRow row, long nowMillis) {
        Optional<RouterMoveRow> move = world.moves().find(row.order().moveName());
        if (move.isEmpty()) {
            propose(world, row, nowMillis);
        } else {
            report(world, row, move.get().move(), nowMillis);
        }
    }

    private static void propose(RouterWorld world, RolloutRow row, long nowMillis) {
        Optional<Version> from = currentVersion(world, row.order());
        boolean isDue = nowMillis - row.proposedMillis() >= PROPOSAL_INTERVAL_MILLIS;
        if (isDue && from.isPresent() && world.localKeeper().isPresent()) {
            MoveSpec spec =
                    new MoveSpec(
                            row.order().moveName(),
                            from.get(),
                            row.order().target(),
                            row.deadlineMillis(),
                            STAGES_PERMILLE,
                            GOOD_PER_STAGE);
            world.send(
                    new RouterOutput.ToKeeper(
                            world.localKeeper().get(), new KeeperInput.MoveOrdered(spec)));
        }
        if (isDue) {
            world.rollouts().put(row.order().backEnd(), row.proposed(nowMillis));
            world.timers()
                    .set(
                            new RouterTimer.RolloutCheck(row.order().backEnd()),
                            nowMillis + PROPOSAL_INTERVAL_MILLIS);
        }
    }

    /**
     * Returns the version that most endpoints of the back end have beside the target. A version
     * that may not serve is taken only if there is no other, so that the order can begin.
     */
    private static Optional<Version> currentVersion(RouterWorld world, RolloutOrder order) {
        Predicate<Version> mayServe = new OrderedVersions(world).mayServe(order.backEnd());
        return mostFrequentVersion(world, order, mayServe)
                .or(() -> mostFrequentVersion(world, order, version -> true));
    }

    private static Optional<Version> mostFrequentVersion(
            RouterWorld world, RolloutOrder order, Predicate<Version> condition) {
        Map<Version, Long> counts =
                world
                        .endpoints()
                        .where(
                                row ->
                                        row.backEnd().equals(order.backEnd())
                                                && !row.version().equals(order.target())
                                                && condition.test(row.version()))
                        .stream()
                        .map(EndpointRow::version)
                        .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
        return counts.entrySet().stream()
                .max(Comparator.comparingLong(Map.Entry::getValue))
                .map(Map.Entry::getKey);
    }

    private static void report(RouterWorld world, RolloutRow row, MoveRow move, long nowMillis) {
        if (row.reported().filter(move.state()::equals).isPresent()) {
            return;
        }
        if (move.state() == MoveRow.State.DONE && row.doneMillis().isEmpty()) {
            waitForOldAnswers(world, row, nowMillis);
        } else if (row.doneMillis().filter(done -> nowMillis < reportMillis(row, done)).isEmpty()) {
            world.rollouts().put(row.order().backEnd(), row.reported(move.state()));
            if (isReporter(world, row, move)) {
                world.send(new RouterOutput.ReportRollout(row.order(), move.state()));
            }
            world.note(
                    EventKind.ROLLOUT_REPORTED,
                    row.order().moveName(),
                    move.state() + " " + move.reason());
        }
    }

    /** One router reports the beginning, as a late report could hide the end; all report that. */
    private static boolean isReporter(RouterWorld world, RolloutRow row, MoveRow move) {
        return !move.isRunning() || world.isChosenRouter(row.order().moveName().value());
    }

    private static void waitForOldAnswers(RouterWorld world, RolloutRow row, long nowMillis) {
        world.rollouts().put(row.order().backEnd(), row.done(nowMillis));
        world.timers()
                .set(
                        new RouterTimer.RolloutCheck(row.order().backEnd()),
                        reportMillis(row, nowMillis));
    }

    private static long reportMillis(RolloutRow row, long doneMillis) {
        long latestMillis = Math.max(doneMillis, row.deadlineMillis() - REPORT_MARGIN_MILLIS);
        return Math.min(doneMillis + OLD_ANSWERS_MILLIS, latestMillis);
    }
}
