package org.bramleylatch.core;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks an open request.
 *
 * @param keeper the keeper that was asked last, if any
 * @param grant the grant that the request is billed to; empty until tokens are reserved
 * @param attempt the running attempt, if any
 * @param attempts the number of attempts that count against the limit: not those that were parked
 *     or that are known not to have run
 * @param position how many tokens were delivered to the caller
 * @param ran what is known about whether an endpoint ran the request
 * @param tried the endpoints that failed and are not tried again while there are others
 * @param origin the endpoint of the latest attempt; unless the route allows resumption anywhere, a
 *     partly delivered answer can only be resumed there
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

    /** Lists what a request can be waiting for. */
    public enum Stage {
        /** A keeper was asked to reserve the worst-case tokens. */
        RESERVING,
        /** A keeper was asked to claim the run, as the request may run only once. */
        CLAIMING,
        /** The request waits for an endpoint with free capacity. */
        QUEUED,
        /** An attempt is running. */
        RUNNING,
        /** The caller reads too slowly; its attempt was cancelled and the answer resumes later. */
        PARKED,
        /** The answer is complete; a keeper has yet to confirm that it holds the usage. */
        SETTLING
    }

    /** Copies the set of failed endpoints. */
    public RequestRow {
        tried = Set.copyOf(tried);
    }

    /** Returns the row of a request that has just arrived. */
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

    /** Returns the request after the given keeper was asked. */
    public RequestRow asked(Incarnation newKeeper) {
        return with(stage, Optional.of(newKeeper), grant, attempt, attempts, position, ran);
    }

    /** Returns the request after tokens were reserved from the given grant. */
    public RequestRow reserved(GrantKey newGrant) {
        return with(stage, keeper, Optional.of(newGrant), attempt, attempts, position, ran);
    }

    /** Returns the request in the given stage. */
    public RequestRow in(Stage newStage) {
        return with(newStage, keeper, grant, attempt, attempts, position, ran);
    }

    /** Returns the request after an attempt was started; from then on, it may have run. */
    public RequestRow started(AttemptId newAttempt, EndpointId endpoint) {
        RunState newRunState = ran == RunState.RAN ? ran : RunState.UNKNOWN;
        return new RequestRow(
                spec,
                Stage.RUNNING,
                keeper,
                grant,
                Optional.of(newAttempt),
                attempts + 1,
                position,
                newRunState,
                tried,
                Optional.of(endpoint));
    }

    /** Returns the request after the given number of tokens was sent to the caller. */
    public RequestRow delivered(long tokens) {
        return with(stage, keeper, grant, attempt, attempts, position + tokens, RunState.RAN);
    }

    /**
     * Returns the request after its attempt was cancelled because the caller reads too slowly. The
     * cancelled attempt does not count against the limit.
     */
    public RequestRow parked() {
        return with(Stage.PARKED, keeper, grant, Optional.empty(), attempts - 1, position, ran);
    }

    /**
     * Returns the request after its attempt failed. A partly delivered answer can be resumed at the
     * same endpoint, unless the route allows resumption anywhere; in all other cases the endpoint
     * is added to the failed ones.
     *
     * @param newRunState what is now known about the run
     * @param countsAsAttempt false if the endpoint is known not to have run the request
     */
    public RequestRow failedAt(EndpointId endpoint, RunState newRunState, boolean countsAsAttempt) {
        Set<EndpointId> newFailedEndpoints = new HashSet<>(tried);
        if (position == 0 || spec.route().terms().resumeAnywhere()) {
            newFailedEndpoints.add(endpoint);
        }
        return new RequestRow(
                spec,
                stage,
                keeper,
                grant,
                Optional.empty(),
                countsAsAttempt ? attempts : attempts - 1,
                position,
                newRunState,
                newFailedEndpoints,
                origin);
    }

    private RequestRow with(
            Stage newStage,
            Optional<Incarnation> newKeeper,
            Optional<GrantKey> newGrant,
            Optional<AttemptId> newAttempt,
            int newAttemptCount,
            long newDeliveredTokens,
            RunState newRunState) {
        return new RequestRow(
                spec,
                newStage,
                newKeeper,
                newGrant,
                newAttempt,
                newAttemptCount,
                newDeliveredTokens,
                newRunState,
                tried,
                origin);
    }
}
