package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * Is a request as it arrived.
 *
 * @param key the key under which the request is billed, scoped to the budget
 * @param keyGiven true if the caller gave the key, so that a retry carries it too
 * @param promptTokens the length of the prompt; 0 for a service call
 * @param mostTokens the longest answer; 0 for a service call
 * @param prefixHash a hash of the prompt's beginning, for cache affinity
 * @param deadlineMillis when the caller stops waiting
 * @param traits what it brings along beyond that
 */
public record RequestSpec(
        RequestId id,
        RequestKey key,
        boolean keyGiven,
        BudgetId budget,
        RouteRow route,
        long promptTokens,
        long mostTokens,
        long prefixHash,
        long deadlineMillis,
        RequestTraits traits) {

    /** Checks that every part is present. */
    public RequestSpec {
        requireNonNull(id, "id");
        requireNonNull(key, "key");
        requireNonNull(budget, "budget");
        requireNonNull(route, "route");
    }

    /** Returns a request with the standard traits. */
    public RequestSpec(
            RequestId id,
            RequestKey key,
            boolean keyGiven,
            BudgetId budget,
            RouteRow route,
            long promptTokens,
            long mostTokens,
            long prefixHash,
            long deadlineMillis) {
        this(
                id,
                key,
                keyGiven,
                budget,
                route,
                promptTokens,
                mostTokens,
                prefixHash,
                deadlineMillis,
                RequestTraits.standard());
    }

    /** Returns the back end that runs the request. */
    public String backEnd() {
        return route.backEndFor(key);
    }

    /** Returns the tokens that a budget must have for the request; 0 if none pays. */
    public long billableTokens() {
        return traits.metered() ? worstCaseTokens() : 0;
    }

    /** Returns the most that the request can cost, in tokens. */
    public long worstCaseTokens() {
        return route.kind() == RouteKind.CHAT ? promptTokens + mostTokens : route.costTokens();
    }

    /** Returns the version that the request falls to, if the route shares versions out. */
    public Optional<Version> version() {
        int point = (int) Long.remainderUnsigned(key.low(), VersionShare.WHOLE_PERMILLE);
        int sum = 0;
        for (VersionShare share : route.shares()) {
            sum += share.permille();
            if (point < sum) {
                return Optional.of(share.version());
            }
        }
        return Optional.empty();
    }
}
