package org.bramleylatch.core;

import java.util.Optional;
import org.bramleylatch.core.RequestRow.Stage;
import org.bramleylatch.core.RouterInput.IntentLost;
import org.bramleylatch.core.RouterInput.IntentRefused;
import org.bramleylatch.core.RouterInput.IntentWon;
import org.bramleylatch.core.RouterInput.RequestArrived;
import org.bramleylatch.core.RouterInput.ReserveGranted;
import org.bramleylatch.core.RouterInput.ReserveRefused;

/**
 * Takes a request from its arrival to the queue: reserves its tokens at a keeper, then claims its
 * run in the log if its route requires that.
 */
record Admission(RouterWorld world, RouterLimits limits, long nowMillis) {
    /** A request that has queued for half of its latency objective can hardly meet it. */
    static final int QUEUE_WAIT_DIVISOR = 2;

    /** A key issued further ahead of this router's clock is refused as malformed. */
    private static final long MAX_KEY_AHEAD_MILLIS = 10 * 60 * 1_000L;

    /** Admits a request, or refuses it at once and returns false. */
    boolean admit(RequestArrived arrived) {
        RequestRow row = RequestRow.of(arrived.spec());
        Optional<ResultCode> refusal = findRefusal(row.spec());
        if (refusal.isPresent()) {
            refuseArrival(row, refusal.get());
            return false;
        }
        world.requests().put(row.spec().id(), row);
        world.requestsByKey().put(row.spec().key(), row.spec().id());
        Retries.countRequest(world, row.spec(), limits, nowMillis);
        world.timers()
                .set(new RouterTimer.RequestDeadline(row.spec().id()), row.spec().deadlineMillis());
        world.note(EventKind.REQUEST_ARRIVED, row.spec().key(), describe(row.spec()));
        Optional<QuarantineRow> quarantine = QuarantineSystem.findBlocking(world, row, nowMillis);
        if (quarantine.isPresent()) {
            QuarantineSystem.refuse(world, row, quarantine.get(), nowMillis);
            return false;
        }
        advance(row);
        return true;
    }

    /**
     * Stores the grant that tokens were reserved from and takes the request to its next stage, also
     * if another keeper has been asked since: an answer that is late is most often late because
     * this VM is, and so would be the next one. A reservation is released if the request has ended
     * or has another one. A keeper that was asked twice answers twice for one reservation.
     */
    boolean acceptGrant(ReserveGranted granted) {
        markAnswering(granted.keeper());
        Optional<RequestRow> request = world.requestByKey(granted.key());
        if (request.flatMap(RequestRow::grant).filter(granted.grant()::equals).isPresent()) {
            return false;
        }
        Optional<RequestRow> row =
                request.filter(found -> found.stage() == Stage.RESERVING)
                        .filter(found -> world.keepers().contains(granted.keeper()));
        if (row.isEmpty()) {
            world.send(
                    new RouterOutput.ToKeeper(
                            granted.keeper(),
                            new KeeperInput.ReservationReleased(world.self(), granted.key())));
            return false;
        }
        world.timers().clear(new RouterTimer.ReserveTimeout(row.get().spec().id()));
        advance(row.get().withKeeper(granted.keeper()).withGrant(granted.grant()));
        return true;
    }

    /**
     * Asks another keeper if the one that refused lacks tokens, can't read the log or is stopping.
     * For any other reason, the request is refused.
     */
    boolean handleReserveRefusal(ReserveRefused refused) {
        markAnswering(refused.keeper());
        Optional<RequestRow> row =
                world.requestByKey(refused.key())
                        .filter(found -> found.stage() == Stage.RESERVING)
                        .filter(
                                found ->
                                        found.keeper()
                                                .filter(refused.keeper()::equals)
                                                .isPresent());
        if (refused.code() == ResultCode.BUDGET_UNAVAILABLE) {
            row.ifPresent(
                    found ->
                            Borrowing.askNextLender(
                                    world, found, refused.lenders(), limits, nowMillis));
        } else if (refused.code() == ResultCode.LOG_UNAVAILABLE) {
            row.ifPresent(
                    found ->
                            Borrowing.askNextLender(
                                    world,
                                    found,
                                    Borrowing.possibleLenders(world, found, refused.lenders()),
                                    limits,
                                    nowMillis));
        } else if (refused.code() == ResultCode.SHUTTING_DOWN) {
            world.keepers().remove(refused.keeper());
            row.ifPresent(found -> askKeeper(world, found));
        } else {
            row.ifPresent(found -> confirmOrRefuse(found, refused));
        }
        return row.isPresent();
    }

    /**
     * Refuses the request for good, unless the refusing keeper may know an older configuration than
     * this router: then the local keeper, which knows the same, is asked to confirm.
     */
    private void confirmOrRefuse(RequestRow row, ReserveRefused refused) {
        Optional<Incarnation> local = world.localKeeper();
        boolean isConfirmed = local.filter(keeper -> !keeper.equals(refused.keeper())).isEmpty();
        if (!isConfirmed && ConfigurationAge.isAbsence(refused.code())) {
            Borrowing.askOnly(world, row, local.get(), limits, nowMillis);
            return;
        }
        // Without a local keeper, budgets come from the log and not from the configuration.
        ConfigurationAge age = ConfigurationAge.of(world, nowMillis);
        ResultCode code = local.isPresent() ? age.qualify(refused.code()) : refused.code();
        RequestCompletion.refuse(
                world, row, code, "tokens could not be reserved: " + refused.code() + " " + age);
    }

    private void markAnswering(Incarnation keeper) {
        world.lateness().awaitedKeepers().remove(keeper);
        if (world.silentKeepers().remove(keeper)) {
            world.timers().clear(new RouterTimer.KeeperRetrial(keeper));
        }
    }

    /** Queues a request whose run was claimed; the claim is released if the request has ended. */
    boolean queueClaimed(IntentWon won) {
        Optional<RequestRow> row = findClaiming(won.key());
        if (row.isEmpty()) {
            releaseClaim(won.key());
            return false;
        }
        queue(row.get());
        return true;
    }

    /** Answers a request whose run was claimed before, with that run's answer if it is known. */
    boolean answerLostClaim(IntentLost lost) {
        Optional<RequestRow> row = findClaiming(lost.winner().key());
        row.ifPresent(found -> answerFromWinner(found, lost.winner()));
        return row.isPresent();
    }

    /** Refuses a request whose run could not be claimed. */
    boolean refuseUnclaimed(IntentRefused refused) {
        Optional<RequestRow> row = findClaiming(refused.key());
        row.ifPresent(
                found ->
                        RequestCompletion.refuse(
                                world, found, refused.code(), "run could not be claimed"));
        return row.isPresent();
    }

    /** Asks the keeper of the request's budget for its tokens; refuses if none is reachable. */
    static void askKeeper(RouterWorld world, RequestRow row) {
        RequestSpec spec = row.spec();
        Optional<Incarnation> keeper = world.keeperOf(spec.budget());
        if (keeper.isEmpty()) {
            RequestCompletion.refuse(
                    world, row, ResultCode.BUDGET_UNAVAILABLE, "no reachable keeper");
            return;
        }
        world.requests().put(spec.id(), row.withKeeper(keeper.get()));
        world.send(
                new RouterOutput.ToKeeper(
                        keeper.get(),
                        new KeeperInput.ReserveAsked(
                                world.self(), spec.key(), spec.budget(), spec.billableTokens())));
    }

    private Optional<ResultCode> findRefusal(RequestSpec spec) {
        if (world.isStopping()) {
            return Optional.of(ResultCode.SHUTTING_DOWN);
        }
        if (spec.route().requiresClaim() && !spec.isKeyFromCaller()) {
            return Optional.of(ResultCode.IDEMPOTENCY_KEY_MISSING);
        }
        if (KeyWindow.isExpired(spec.key(), nowMillis)) {
            return Optional.of(ResultCode.IDEMPOTENCY_KEY_EXPIRED);
        }
        if (spec.key().issuedMillis() > nowMillis + MAX_KEY_AHEAD_MILLIS) {
            return Optional.of(ResultCode.IDEMPOTENCY_KEY_MALFORMED);
        }
        if (world.requestsByKey().has(spec.key()) || world.settlements().has(spec.key())) {
            return Optional.of(ResultCode.REQUEST_IN_PROGRESS);
        }
        boolean full =
                world.requests().size() >= limits.maxOpenRequests()
                        || world.queuedRequests().size() >= limits.maxQueuedRequests();
        return full ? Optional.of(ResultCode.OVERLOADED) : Optional.empty();
    }

    private void refuseArrival(RequestRow row, ResultCode code) {
        world.send(
                new RouterOutput.Refuse(
                        row.spec().id(),
                        code,
                        RequestCompletion.reportableRunState(code, RunState.NOT_RUN),
                        ""));
        world.note(EventKind.REQUEST_REFUSED, row.spec().key(), code.toString());
    }

    private void advance(RequestRow row) {
        RequestSpec spec = row.spec();
        if (row.grant().isEmpty() && spec.billableTokens() > 0) {
            world.timers()
                    .set(
                            new RouterTimer.ReserveTimeout(spec.id()),
                            nowMillis + limits.reserveTimeoutMillis());
            askKeeper(world, row);
        } else if (spec.route().requiresClaim()) {
            claim(row);
        } else {
            queue(row);
        }
    }

    private void claim(RequestRow row) {
        RequestSpec spec = row.spec();
        Optional<Incarnation> keeper =
                row.keeper().isPresent() ? row.keeper() : world.keeperOf(spec.budget());
        if (keeper.isEmpty()) {
            RequestCompletion.refuse(world, row, ResultCode.LOG_UNAVAILABLE, "no reachable keeper");
            return;
        }
        world.requests().put(spec.id(), row.withKeeper(keeper.get()).inStage(Stage.CLAIMING));
        world.send(
                new RouterOutput.ToKeeper(
                        keeper.get(),
                        new KeeperInput.IntentAsked(world.self(), spec.key(), spec.budget())));
    }

    private void queue(RequestRow row) {
        world.requests().put(row.spec().id(), row.inStage(Stage.QUEUED));
        world.queuedRequests().add(row.spec().id());
        long targetLatencyMillis = row.spec().route().options().targetLatencyMillis();
        if (targetLatencyMillis > 0) {
            world.timers()
                    .set(
                            new RouterTimer.QueueTimeout(row.spec().id()),
                            nowMillis + targetLatencyMillis / QUEUE_WAIT_DIVISOR);
        }
    }

    private Optional<RequestRow> findClaiming(RequestKey key) {
        return world.requestByKey(key).filter(found -> found.stage() == Stage.CLAIMING);
    }

    private void releaseClaim(RequestKey key) {
        world.keepers().stream()
                .findFirst()
                .ifPresent(
                        keeper ->
                                world.send(
                                        new RouterOutput.ToKeeper(
                                                keeper,
                                                new KeeperInput.IntentEnded(
                                                        key,
                                                        world.self(),
                                                        RunState.NOT_RUN,
                                                        0,
                                                        ""))));
    }

    private void answerFromWinner(RequestRow row, IntentRow winner) {
        if (winner.finished() && winner.state() == RunState.RAN) {
            RequestCompletion.deliverServiceAnswer(world, row, winner.status(), winner.body());
        } else {
            RequestCompletion.refuse(
                    world, row, ResultCode.OUTCOME_UNKNOWN, "run was claimed before");
        }
    }

    private static String describe(RequestSpec spec) {
        return "request="
                + spec.id()
                + " route="
                + spec.route().name()
                + " budget="
                + spec.budget()
                + " worstCase="
                + spec.worstCaseTokens()
                + " parts="
                + PromptPartId.describe(spec.suspectParts());
    }
}
