package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/**
 * Is one route between callers and endpoints.
 *
 * @param selector the model name of a chat route, or the path prefix of a service route
 * @param backEnd the back end whose endpoints serve the route
 * @param repeatable false if a call may run at most once
 * @param costTokens what one call of a service costs; chats cost what they use
 * @param shares the part of each version; empty if every version serves
 * @param ownTerms what the route asks of the router; empty for the standard terms
 */
public record RouteRow(
        RouteName name,
        RouteKind kind,
        String selector,
        String backEnd,
        boolean repeatable,
        long costTokens,
        List<VersionShare> shares,
        Optional<RouteTerms> ownTerms) {

    /** Copies the list. */
    public RouteRow {
        shares = List.copyOf(shares);
    }

    /** Returns a route on the standard terms. */
    public RouteRow(
            RouteName name,
            RouteKind kind,
            String selector,
            String backEnd,
            boolean repeatable,
            long costTokens,
            List<VersionShare> shares) {
        this(name, kind, selector, backEnd, repeatable, costTokens, shares, Optional.empty());
    }

    /** Returns what the route asks of the router. */
    public RouteTerms terms() {
        return ownTerms.orElseGet(RouteTerms::standard);
    }

    /** Returns true if a request of the route is claimed in the log before it is sent. */
    public boolean isClaimed() {
        return !repeatable && terms().claimed();
    }

    /** Returns the back end that a request with the given key falls to. */
    public String backEndFor(RequestKey key) {
        List<BackEndShare> split = terms().split();
        int whole = split.stream().mapToInt(BackEndShare::weight).sum();
        if (whole <= 0) {
            return backEnd;
        }
        long point = Long.remainderUnsigned(key.low(), whole);
        for (BackEndShare share : split) {
            point -= share.weight();
            if (point < 0) {
                return share.backEnd();
            }
        }
        return backEnd;
    }

    /** Returns a chat route that every version of the back end serves. */
    public static RouteRow chat(RouteName name, String model, String backEnd) {
        return new RouteRow(name, RouteKind.CHAT, model, backEnd, true, 0, List.of());
    }
}
