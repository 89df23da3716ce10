package org.bramleylatch.core;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Is a request on its way.
 *
 * @param stage what the request waits for
 * @param keeper the keeper that was asked, if any
 * @param grant the share that pays, once tokens are set aside
 * @param attempt the running attempt, if any
 * @param attempts how many attempts were started
 * @param position how many tokens have reached the caller
 * @param ran what is known about whether an endpoint ran the request
 * @param tried the endpoints that failed
 * @param origin the endpoint that the answer comes from; only there it can be resumed
 */
public record RequestRow(
        RequestSpec spec,
        Stage stage,
        Optional<Incarnation> keeper,
        Optional<GrantKey> grant,
        Optional<AttemptId> attempt,
        int attempts,
        long position,
        RunState ran,
        Set<EndpointId> tried,
        Optional<EndpointId> origin) {

    /** Tells what a request waits for. */
    public enum Stage {
        /** Its worst case is being set aside. */
        RESERVING,
        /** Its single run is being claimed. */
        CLAIMING,
        /** It waits for an endpoint with room. */
        QUEUED,
        /** An attempt is running. */
        RUNNING,
        /** The caller reads too slowly; the attempt was cancelled and will be resumed. */
        PARKED,
        /** The answer is whole; its usage is being held by a keeper. */
        SETTLING
    }

    /** Copies the set. */
    public RequestRow {
        tried = Set.copyOf(tried);
    }

    /** Returns a request that just arrived. */
    public static RequestRow of(RequestSpec spec) {
        return new RequestRow(
                spec,
                Stage.RESERVING,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                0,
                0,
                RunState.NOT_RUN,
                Set.of(),
                Optional.empty());
    }

    /** Returns the request after a keeper was asked. */
    public RequestRow asked(Incarnation newKeeper) {
        return with(stage, Optional.of(newKeeper), grant, attempt, attempts, position, ran);
    }

    /** Returns the request after tokens were set aside. */
    public RequestRow reserved(GrantKey newGrant) {
        return with(stage, keeper, Optional.of(newGrant), attempt, attempts, position, ran);
    }

    /** Returns the request in another stage. */
    public RequestRow in(Stage next) {
        return with(next, keeper, grant, attempt, attempts, position, ran);
    }

    /** Returns the request after an attempt was started; from now on it may have run. */
    public RequestRow started(AttemptId newAttempt, EndpointId endpoint) {
        RunState known = ran == RunState.RAN ? ran : RunState.UNKNOWN;
        return new RequestRow(
                spec,
                Stage.RUNNING,
                keeper,
                grant,
                Optional.of(newAttempt),
                attempts + 1,
                position,
                known,
                tried,
                Optional.of(endpoint));
    }

    /** Returns the request after tokens were passed on to the caller. */
    public RequestRow delivered(long tokens) {
        return with(stage, keeper, grant, attempt, attempts, position + tokens, RunState.RAN);
    }

    /** Returns the request after its attempt was cancelled because the caller reads too slowly. */
    public RequestRow parked() {
        return with(Stage.PARKED, keeper, grant, Optional.empty(), attempts - 1, position, ran);
    }

    /**
     * Returns the request after its attempt failed, with what is known of the run. An answer that
     * has begun goes on at the same endpoint; otherwise that endpoint is not tried again.
     */
    public RequestRow failedAt(EndpointId endpoint, RunState known, boolean counted) {
        Set<EndpointId> more = new HashSet<>(tried);
        if (position == 0 || spec.route().terms().resumeAnywhere()) {
            more.add(endpoint);
        }
        return new RequestRow(
                spec,
                stage,
                keeper,
                grant,
                Optional.empty(),
                counted ? attempts : attempts - 1,
                position,
                known,
                more,
                origin);
    }

    private RequestRow with(
            Stage newStage,
            Optional<Incarnation> newKeeper,
            Optional<GrantKey> newGrant,
            Optional<AttemptId> newAttempt,
            int newAttempts,
            long newPosition,
            RunState newRan) {
        return new RequestRow(
                spec,
                newStage,
                newKeeper,
                newGrant,
                newAttempt,
                newAttempts,
                newPosition,
                newRan,
                tried,
                origin);
    }
}
