package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Holds a request as it arrived, with its resolved route and budget.
 *
 * @param key the key under which the request is billed, scoped to the budget
 * @param isKeyFromCaller true if the caller chose the key, so that the caller's retries carry it
 *     too
 * @param promptTokens the length of the prompt; 0 for a service
 * @param maxAnswerTokens the maximum length of the answer; 0 for a service
 * @param prefixHash a hash of the prompt's prefix, for cache affinity
 * @param deadlineMillis when the caller stops waiting
 * @param traits the properties that affect placement, queueing and billing
 */
public record RequestSpec(
        RequestId id,
        RequestKey key,
        boolean isKeyFromCaller,
        BudgetId budget,
        RouteRow route,
        long promptTokens,
        long maxAnswerTokens,
        long prefixHash,
        long deadlineMillis,
        RequestTraits traits) {

    /** Rejects a null id, key, budget or route with a {@link NullPointerException}. */
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
            boolean isKeyFromCaller,
            BudgetId budget,
            RouteRow route,
            long promptTokens,
            long maxAnswerTokens,
            long prefixHash,
            long deadlineMillis) {
        this(
                id,
                key,
                isKeyFromCaller,
                budget,
                route,
                promptTokens,
                maxAnswerTokens,
                prefixHash,
                deadlineMillis,
                RequestTraits.standard());
    }

    /** Returns the back end that serves the request, chosen by its key. */
    public String backEnd() {
        return route.backEndFor(key);
    }

    /** Returns the parts of the prompt that other requests to the back end may share, in order. */
    public List<PromptPartId> promptParts() {
        String backEnd = backEnd();
        return traits.sharedPartIds().stream()
                .map(part -> new PromptPartId(backEnd, part))
                .toList();
    }

    /** Returns the id that only repeats of the request have in common; empty if not known. */
    public Optional<PromptPartId> wholeId() {
        return traits.fingerprint().map(hash -> new PromptPartId(backEnd(), hash));
    }

    /** Returns what may be to blame if the request crashes its endpoint. */
    public List<PromptPartId> suspectParts() {
        return Stream.concat(promptParts().stream(), wholeId().stream()).toList();
    }

    /** Returns the tokens to reserve from the budget; 0 if the request isn't metered. */
    public long billableTokens() {
        return traits.metered() ? worstCaseTokens() : 0;
    }

    /** Returns the most tokens that the request can cost. */
    public long worstCaseTokens() {
        return route.kind() == RouteKind.CHAT ? promptTokens + maxAnswerTokens : route.costTokens();
    }

    /** Returns the version chosen by the request's key; empty if the route has no shares. */
    public Optional<Version> version() {
        int keyPermille = (int) Long.remainderUnsigned(key.low(), VersionShare.WHOLE_PERMILLE);
        int cumulativePermille = 0;
        for (VersionShare share : route.shares()) {
            cumulativePermille += share.permille();
            if (keyPermille < cumulativePermille) {
                return Optional.of(share.version());
            }
        }
        return Optional.empty();
    }
}
