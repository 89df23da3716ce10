package org.bramleylatch.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.Ledger;
import org.bramleylatch.core.LedgerFold;
import org.bramleylatch.core.LedgerRecord;
import org.bramleylatch.core.LogEntry;
import org.bramleylatch.core.MoveRow;
import org.bramleylatch.core.MoveSpec;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.RouteName;
import org.bramleylatch.core.RouterMoveRow;
import org.bramleylatch.core.Version;
import org.bramleylatch.fakes.VirtualTime;

/** Runs one move in virtual time: routers with real watches, the real fold, a delayed log. */
final class MoveRun {
    static final int ROUTERS = 8;
    static final long DEADLINE_MILLIS = 2 * 3_600_000;

    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final long REPORT_MILLIS = 250;
    private static final long LOG_MILLIS = 100;
    private static final double REQUESTS_PER_SECOND = 20;
    private static final Version OLD = Version.of("v1");
    private static final Version NEW = Version.of("v2");
    private static final RouteName[] ROUTES = {RouteName.of("chat"), RouteName.of("drafts")};
    private static final List<Integer> STAGES = List.of(10, 50, 200, 500, 1_000);
    private static final int GOOD_PER_STAGE = 100;

    private final Behaviour behaviour;
    private final Random random;
    private final VirtualTime time = VirtualTime.startingAt(START_MILLIS);
    private final Ledger ledger = Ledger.empty();
    private final LedgerFold fold = LedgerFold.of(ledger);
    private final List<List<RouterMoveRow>> watches = new ArrayList<>();
    private final long[] badAfterShown = new long[ROUTERS];
    private final boolean[] shown = new boolean[ROUTERS];
    private long sequence;
    private long requests;
    private long badRequests;

    MoveRun(Behaviour behaviour, long seed) {
        this.behaviour = behaviour;
        this.random = new Random(seed);
    }

    /** Runs the move to its end and tells what came of it. */
    Result run() {
        for (RouteName route : ROUTES) {
            write(
                    new LedgerRecord.MoveBegun(
                            new MoveSpec(
                                    route,
                                    OLD,
                                    NEW,
                                    START_MILLIS + DEADLINE_MILLIS,
                                    STAGES,
                                    GOOD_PER_STAGE)));
        }
        for (int router = 0; router < ROUTERS; router++) {
            List<RouterMoveRow> mine = new ArrayList<>();
            for (RouteName route : ROUTES) {
                mine.add(RouterMoveRow.of(move(route)));
            }
            watches.add(mine);
            int number = router;
            time.runAfter(REPORT_MILLIS + router, () -> report(number));
        }
        arriveLater();
        while (isRunning() && time.nowMillis() < START_MILLIS + DEADLINE_MILLIS) {
            time.advance(60_000);
        }
        for (RouteName route : ROUTES) {
            write(new LedgerRecord.MoveExpired(route, NEW));
        }
        return result();
    }

    private boolean isRunning() {
        return move(ROUTES[0]).isRunning() || move(ROUTES[1]).isRunning();
    }

    private void arriveLater() {
        double seconds = -Math.log(1 - random.nextDouble()) / REQUESTS_PER_SECOND;
        time.runAfter(Math.max(1, Math.round(seconds * 1_000)), this::arrive);
    }

    private void arrive() {
        arriveLater();
        int router = random.nextInt(ROUTERS);
        int route = random.nextInt(ROUTES.length);
        RouterMoveRow watch = watches.get(router).get(route);
        requests++;
        RequestKey key = RequestKey.of(time.nowMillis(), random.nextLong());
        Version version = watch.versionFor(key);
        boolean isNew = version.equals(NEW);
        Answer answer =
                isNew
                        ? behaviour.answer(
                                time.nowMillis() - START_MILLIS,
                                route,
                                watch.move().sharePermille(),
                                random)
                        : Answer.usual(random);
        if (isNew && !answer.isRight()) {
            badRequests++;
            if (shown[router]) {
                badAfterShown[router]++;
            }
        }
        time.runAfter(answer.millis(), () -> ended(router, route, version, answer));
    }

    private void ended(int router, int route, Version version, Answer answer) {
        RouterMoveRow after =
                watches.get(router)
                        .get(route)
                        .withAttempt(version, answer.good(), Optional.of(answer.millis()));
        watches.get(router).set(route, after);
        if (after.isNewVersionStopped()) {
            shown[router] = true;
            send(router, route);
        }
    }

    private void report(int router) {
        for (int route = 0; route < ROUTES.length; route++) {
            send(router, route);
        }
        time.runAfter(REPORT_MILLIS, () -> report(router));
    }

    private void send(int router, int route) {
        RouterMoveRow watch = watches.get(router).get(route);
        if (watch.hasUnreportedAttempts()) {
            LedgerRecord record =
                    new LedgerRecord.MoveObserved(
                            ROUTES[route],
                            NEW,
                            watch.move().stage(),
                            watch.oldAttempts(),
                            watch.newAttempts(),
                            watch.isNewVersionStopped());
            watches.get(router).set(route, watch.reported());
            time.runAfter(LOG_MILLIS, () -> write(record));
        }
    }

    private void write(LedgerRecord record) {
        sequence++;
        fold.apply(
                new LogEntry(
                        ledger.nextOffset(),
                        time.nowMillis(),
                        Incarnation.of("writer"),
                        sequence,
                        record));
        time.runAfter(LOG_MILLIS, this::tell);
    }

    private void tell() {
        for (List<RouterMoveRow> mine : watches) {
            for (int route = 0; route < ROUTES.length; route++) {
                mine.set(route, mine.get(route).withMove(move(ROUTES[route])));
            }
        }
    }

    private MoveRow move(RouteName route) {
        return ledger.moves().find(route).orElseThrow();
    }

    private Result result() {
        long worst = 0;
        for (long count : badAfterShown) {
            worst = Math.max(worst, count);
        }
        return new Result(
                move(ROUTES[0]).state() == MoveRow.State.DONE,
                move(ROUTES[1]).state() == MoveRow.State.DONE,
                badRequests / (double) requests,
                worst,
                time.nowMillis() - START_MILLIS);
    }

    /** Tells how the new version answers a request. */
    @FunctionalInterface
    interface Behaviour {
        Answer answer(long sinceMillis, int route, int sharePermille, Random random);
    }

    /**
     * Is one answer.
     *
     * @param good whether it succeeded
     * @param millis the time to its first token
     */
    record Answer(boolean good, long millis) {
        private static final long SLOW_MILLIS = 1_500;

        /** Returns an answer as the old version gives it: one in a hundred fails. */
        static Answer usual(Random random) {
            return failing(0.01, random);
        }

        /** Returns an answer that fails with the given chance. */
        static Answer failing(double chance, Random random) {
            long millis = 150 + Math.round(Math.abs(random.nextGaussian()) * 60);
            return new Answer(random.nextDouble() >= chance, millis);
        }

        /** Returns an answer that takes many times as long. */
        static Answer slow(Random random) {
            return new Answer(true, SLOW_MILLIS + random.nextInt(500));
        }

        boolean isRight() {
            return good && millis < SLOW_MILLIS;
        }
    }

    /**
     * Tells what came of a run of two routes.
     *
     * @param badShare the part of all requests that the new version answered wrongly or slowly
     * @param worstAfterShown the most such requests that one router sent after it had stopped
     */
    record Result(
            boolean firstDone,
            boolean secondDone,
            double badShare,
            long worstAfterShown,
            long millis) {}
}
