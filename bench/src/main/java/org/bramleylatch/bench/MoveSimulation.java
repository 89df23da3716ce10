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

/**
 * Simulates planned moves of two routes to one new version in virtual time. The routers decide with
 * real {@link RouterMoveRow} rows and the ledger is folded by the real {@link LedgerFold}; only the
 * requests and the delay of the log are simulated.
 */
final class MoveSimulation {
    static final int ROUTERS = 8;
    static final long TIME_LIMIT_MILLIS = 2 * 3_600_000;

    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final long REPORT_INTERVAL_MILLIS = 250;
    private static final long LOG_DELAY_MILLIS = 100;
    private static final double REQUESTS_PER_SECOND = 20;
    private static final Version OLD = Version.of("v1");
    private static final Version NEW = Version.of("v2");
    private static final RouteName[] ROUTES = {RouteName.of("chat"), RouteName.of("drafts")};
    private static final List<Integer> STAGES_PERMILLE = List.of(10, 50, 200, 500, 1_000);
    private static final int GOOD_PER_STAGE = 100;

    private final Behaviour behaviour;
    private final Random random;
    private final VirtualTime time = VirtualTime.startingAt(START_MILLIS);
    private final Ledger ledger = Ledger.empty();
    private final LedgerFold fold = LedgerFold.of(ledger);
    private final List<List<RouterMoveRow>> rowsByRouter = new ArrayList<>();
    private final long[] badRequestsAfterStop = new long[ROUTERS];
    private final boolean[] stoppedNewVersion = new boolean[ROUTERS];
    private long sequence;
    private long requestCount;
    private long badRequestCount;

    MoveSimulation(Behaviour behaviour, long seed) {
        this.behaviour = behaviour;
        this.random = new Random(seed);
    }

    /** Runs both moves until they have ended, at the latest until their deadline. */
    Result run() {
        for (RouteName route : ROUTES) {
            appendRecord(
                    new LedgerRecord.MoveBegun(
                            new MoveSpec(
                                    route,
                                    OLD,
                                    NEW,
                                    START_MILLIS + TIME_LIMIT_MILLIS,
                                    STAGES_PERMILLE,
                                    GOOD_PER_STAGE)));
        }
        for (int router = 0; router < ROUTERS; router++) {
            List<RouterMoveRow> rows = new ArrayList<>();
            for (RouteName route : ROUTES) {
                rows.add(RouterMoveRow.of(ledgerMove(route)));
            }
            rowsByRouter.add(rows);
            int number = router;
            time.runAfter(REPORT_INTERVAL_MILLIS + router, () -> sendReports(number));
        }
        scheduleNextArrival();
        while (isRunning() && time.nowMillis() < START_MILLIS + TIME_LIMIT_MILLIS) {
            time.advance(60_000);
        }
        for (RouteName route : ROUTES) {
            appendRecord(new LedgerRecord.MoveExpired(route, NEW));
        }
        return result();
    }

    private boolean isRunning() {
        return ledgerMove(ROUTES[0]).isRunning() || ledgerMove(ROUTES[1]).isRunning();
    }

    private void scheduleNextArrival() {
        double delaySeconds = -Math.log(1 - random.nextDouble()) / REQUESTS_PER_SECOND;
        time.runAfter(Math.max(1, Math.round(delaySeconds * 1_000)), this::handleArrival);
    }

    private void handleArrival() {
        scheduleNextArrival();
        int router = random.nextInt(ROUTERS);
        int route = random.nextInt(ROUTES.length);
        RouterMoveRow row = rowsByRouter.get(router).get(route);
        requestCount++;
        RequestKey key = RequestKey.of(time.nowMillis(), random.nextLong());
        Version version = row.versionFor(key);
        boolean isNew = version.equals(NEW);
        Answer answer =
                isNew
                        ? behaviour.answer(
                                time.nowMillis() - START_MILLIS,
                                route,
                                row.move().sharePermille(),
                                random)
                        : Answer.ofOldVersion(random);
        if (isNew && !answer.isGood()) {
            badRequestCount++;
            if (stoppedNewVersion[router]) {
                badRequestsAfterStop[router]++;
            }
        }
        time.runAfter(
                answer.firstTokenMillis(), () -> handleAttemptEnd(router, route, version, answer));
    }

    private void handleAttemptEnd(int router, int route, Version version, Answer answer) {
        RouterMoveRow row =
                rowsByRouter
                        .get(router)
                        .get(route)
                        .withAttempt(
                                version,
                                answer.succeeded(),
                                Optional.of(answer.firstTokenMillis()));
        rowsByRouter.get(router).set(route, row);
        if (row.isNewVersionStopped()) {
            stoppedNewVersion[router] = true;
            sendReport(router, route);
        }
    }

    private void sendReports(int router) {
        for (int route = 0; route < ROUTES.length; route++) {
            sendReport(router, route);
        }
        time.runAfter(REPORT_INTERVAL_MILLIS, () -> sendReports(router));
    }

    private void sendReport(int router, int route) {
        RouterMoveRow row = rowsByRouter.get(router).get(route);
        if (row.hasUnreportedAttempts()) {
            LedgerRecord record =
                    new LedgerRecord.MoveObserved(
                            ROUTES[route],
                            NEW,
                            row.move().stage(),
                            row.oldAttempts(),
                            row.newAttempts(),
                            row.isNewVersionStopped());
            rowsByRouter.get(router).set(route, row.markReported());
            time.runAfter(LOG_DELAY_MILLIS, () -> appendRecord(record));
        }
    }

    private void appendRecord(LedgerRecord record) {
        sequence++;
        fold.apply(
                new LogEntry(
                        ledger.nextOffset(),
                        time.nowMillis(),
                        Incarnation.of("writer"),
                        sequence,
                        record));
        time.runAfter(LOG_DELAY_MILLIS, this::updateRouters);
    }

    private void updateRouters() {
        for (List<RouterMoveRow> rows : rowsByRouter) {
            for (int route = 0; route < ROUTES.length; route++) {
                rows.set(route, rows.get(route).withMove(ledgerMove(ROUTES[route])));
            }
        }
    }

    private MoveRow ledgerMove(RouteName route) {
        return ledger.moves().find(route).orElseThrow();
    }

    private Result result() {
        long maxBadAfterStop = 0;
        for (long count : badRequestsAfterStop) {
            maxBadAfterStop = Math.max(maxBadAfterStop, count);
        }
        return new Result(
                ledgerMove(ROUTES[0]).state() == MoveRow.State.DONE,
                ledgerMove(ROUTES[1]).state() == MoveRow.State.DONE,
                badRequestCount / (double) requestCount,
                maxBadAfterStop,
                time.nowMillis() - START_MILLIS);
    }

    /** Decides how the new version answers a request. */
    @FunctionalInterface
    interface Behaviour {
        Answer answer(long elapsedMillis, int route, int sharePermille, Random random);
    }

    /**
     * Holds the result of one simulated attempt.
     *
     * @param firstTokenMillis the time to its first token
     */
    record Answer(boolean succeeded, long firstTokenMillis) {
        private static final long SLOW_MILLIS = 1_500;

        /** Returns an answer of the old version, of which one in a hundred fails. */
        static Answer ofOldVersion(Random random) {
            return failing(0.01, random);
        }

        /** Returns an answer that fails with the given probability and is never slow. */
        static Answer failing(double failureProbability, Random random) {
            long firstTokenMillis = 150 + Math.round(Math.abs(random.nextGaussian()) * 60);
            return new Answer(random.nextDouble() >= failureProbability, firstTokenMillis);
        }

        /** Returns a successful answer whose first token takes 1.5 s to 2 s. */
        static Answer slow(Random random) {
            return new Answer(true, SLOW_MILLIS + random.nextInt(500));
        }

        boolean isGood() {
            return succeeded && firstTokenMillis < SLOW_MILLIS;
        }
    }

    /**
     * Holds the result of one simulation.
     *
     * @param badShare the fraction of all requests that the new version failed or answered slowly
     * @param maxBadAfterStop the most such requests that one router sent after it had stopped the
     *     new version
     * @param durationMillis the simulated time until both moves had ended, rounded up to minutes
     */
    record Result(
            boolean firstRouteDone,
            boolean secondRouteDone,
            double badShare,
            long maxBadAfterStop,
            long durationMillis) {}
}
