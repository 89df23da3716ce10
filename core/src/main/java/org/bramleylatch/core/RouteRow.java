package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/**
 * Holds the configuration of one route from callers to the endpoints of a back end.
 *
 * @param selector the model name of a chat route, or the path prefix of a service route
 * @param backEnd the back end of all requests, unless the options list back-end shares
 * @param repeatable false if a call may run at most once
 * @param costTokens the price of one service call; chats are billed by the tokens they use
 * @param shares the share of each endpoint version; empty if any version may serve
 * @param ownOptions the route's options; empty for the standard ones
 */
public record RouteRow(
        RouteName name,
        RouteKind kind,
        String selector,
        String backEnd,
        boolean repeatable,
        long costTokens,
        List<VersionShare> shares,
        Optional<RouteOptions> ownOptions) {

    /** Copies the list. */
    public RouteRow {
        shares = List.copyOf(shares);
    }

    /** Returns a route with the standard options. */
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

    /** Returns the route's own options, or the standard ones if it has none. */
    public RouteOptions options() {
        return ownOptions.orElseGet(RouteOptions::standard);
    }

    /** Returns true if a request must be claimed in the log before it is sent to an endpoint. */
    public boolean requiresClaim() {
        return !repeatable && options().claimsBeforeSending();
    }

    /**
     * Returns the back end for a request with the given key. The same key always gets the same back
     * end as long as the route's back-end shares do not change.
     */
    public String backEndFor(RequestKey key) {
        List<BackEndShare> backEndShares = options().backEndShares();
        int weightSum = backEndShares.stream().mapToInt(BackEndShare::weight).sum();
        if (weightSum <= 0) {
            return backEnd;
        }
        long point = Long.remainderUnsigned(key.low(), weightSum);
        for (BackEndShare share : backEndShares) {
            point -= share.weight();
            if (point < 0) {
                return share.backEnd();
            }
        }
        return backEnd;
    }

    /** Returns a repeatable chat route that any version of the back end may serve. */
    public static RouteRow chat(RouteName name, String model, String backEnd) {
        return new RouteRow(name, RouteKind.CHAT, model, backEnd, true, 0, List.of());
    }
}
