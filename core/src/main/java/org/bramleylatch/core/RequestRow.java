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
 * @param attemptCount the number of attempts that count against the limit: not those that were
 *     parked or that are known not to have run
 * @param deliveredTokens how many tokens were delivered to the caller
 * @param resumable false if no other attempt can continue the answer after the delivered tokens
 * @param runState what is known about whether an endpoint ran the request
 * @param failedEndpoints the endpoints that failed and are not tried again while there are others
 * @param latestEndpoint the endpoint of the latest attempt; unless the route allows resumption
 *     anywhere, a partly delivered answer can only be resumed there
 * @param waitingSinceMillis since when the caller has had nothing, if an earlier attempt failed it
 */
public record RequestRow(
        RequestSpec spec,
        Stage stage,
        Optional<Incarnation> keeper,
        Optional<GrantKey> grant,
        Optional<AttemptId> attempt,
        int attemptCount,
        long deliveredTokens,
        boolean resumable,
        RunState runState,
        Set<EndpointId> failedEndpoints,
        Optional<EndpointId> latestEndpoint,
        Optional<Long> waitingSinceMillis) {

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
        failedEndpoints = Set.copyOf(failedEndpoints);
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
                true,
                RunState.NOT_RUN,
                Set.of(),
                Optional.empty(),
                Optional.empty());
    }

    /** Returns the request after the given keeper was asked. */
    public RequestRow withKeeper(Incarnation newKeeper) {
        return with(
                stage,
                Optional.of(newKeeper),
                grant,
                attempt,
                attemptCount,
                deliveredTokens,
                runState);
    }

    /** Returns the request after tokens were reserved from the given grant. */
    public RequestRow withGrant(GrantKey newGrant) {
        return with(
                stage,
                keeper,
                Optional.of(newGrant),
                attempt,
                attemptCount,
                deliveredTokens,
                runState);
    }

    /** Returns the request in the given stage. */
    public RequestRow inStage(Stage newStage) {
        return with(newStage, keeper, grant, attempt, attemptCount, deliveredTokens, runState);
    }

    /** Returns the request after an attempt was started; from then on, it may have run. */
    public RequestRow attemptStarted(AttemptId newAttempt, EndpointId endpoint) {
        RunState newRunState = runState == RunState.RAN ? runState : RunState.UNKNOWN;
        return new RequestRow(
                spec,
                Stage.RUNNING,
                keeper,
                grant,
                Optional.of(newAttempt),
                attemptCount + 1,
                deliveredTokens,
                resumable,
                newRunState,
                failedEndpoints,
                Optional.of(endpoint),
                waitingSinceMillis);
    }

    /** Returns the request after the given number of tokens was sent to the caller. */
    public RequestRow tokensDelivered(long tokens) {
        return tokensDelivered(tokens, true);
    }

    /**
     * Returns the request after tokens were sent to the caller.
     *
     * @param isResumable whether another attempt can continue the answer after them
     */
    public RequestRow tokensDelivered(long tokens, boolean isResumable) {
        return new RequestRow(
                spec,
                stage,
                keeper,
                grant,
                attempt,
                attemptCount,
                deliveredTokens + tokens,
                isResumable,
                RunState.RAN,
                failedEndpoints,
                latestEndpoint,
                waitingSinceMillis);
    }

    /**
     * Returns the request after its attempt was cancelled because the caller reads too slowly. The
     * cancelled attempt does not count against the limit.
     */
    public RequestRow parked() {
        return with(
                        Stage.PARKED,
                        keeper,
                        grant,
                        Optional.empty(),
                        attemptCount - 1,
                        deliveredTokens,
                        runState)
                .waitingSince(Optional.empty());
    }

    /** Returns the request after an attempt failed whose caller has waited since the given time. */
    public RequestRow waitingSince(Optional<Long> sinceMillis) {
        return new RequestRow(
                spec,
                stage,
                keeper,
                grant,
                attempt,
                attemptCount,
                deliveredTokens,
                resumable,
                runState,
                failedEndpoints,
                latestEndpoint,
                sinceMillis);
    }

    /**
     * Returns since when the caller has had nothing: since the attempt's last progress if it has
     * sent a part of the answer, or else since the earlier attempts left it waiting.
     */
    public long waitingSinceMillis(AttemptRow running) {
        return running.firstTokenLatencyMillis().isPresent()
                ? running.lastProgressMillis()
                : waitingSinceMillis.orElse(running.lastProgressMillis());
    }

    /**
     * Returns the request after its attempt failed. A partly delivered answer can be resumed at the
     * same endpoint, unless the route allows resumption anywhere; in all other cases the endpoint
     * is added to the failed ones.
     *
     * @param newRunState what is now known about the run
     * @param countsAsAttempt false if the endpoint is known not to have run the request
     */
    public RequestRow attemptFailed(
            EndpointId endpoint, RunState newRunState, boolean countsAsAttempt) {
        Set<EndpointId> newFailedEndpoints = new HashSet<>(failedEndpoints);
        if (deliveredTokens == 0 || spec.route().options().resumesAtAnyEndpoint()) {
            newFailedEndpoints.add(endpoint);
        }
        return new RequestRow(
                spec,
                stage,
                keeper,
                grant,
                Optional.empty(),
                countsAsAttempt ? attemptCount : attemptCount - 1,
                deliveredTokens,
                resumable,
                newRunState,
                newFailedEndpoints,
                latestEndpoint,
                waitingSinceMillis);
    }

    /**
     * Returns the request after the path of its attempt failed, which says nothing of the endpoint
     * and does not count against the limit.
     */
    RequestRow attemptNotSent(RunState newRunState) {
        return with(
                stage,
                keeper,
                grant,
                Optional.empty(),
                attemptCount - 1,
                deliveredTokens,
                newRunState);
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
                resumable,
                newRunState,
                failedEndpoints,
                latestEndpoint,
                waitingSinceMillis);
    }
}
