package org.bramleylatch.core;

import java.util.List;

/**
 * Is one route between callers and endpoints.
 *
 * @param selector the model name of a chat route, or the path prefix of a service route
 * @param backEnd the back end whose endpoints serve the route
 * @param repeatable false if a call may run at most once
 * @param costTokens what one call of a service costs; chats cost what they use
 * @param shares the part of each version; empty if every version serves
 */
public record RouteRow(
        RouteName name,
        RouteKind kind,
        String selector,
        String backEnd,
        boolean repeatable,
        long costTokens,
        List<VersionShare> shares) {

    /** Copies the list. */
    public RouteRow {
        shares = List.copyOf(shares);
    }

    /** Returns a chat route that every version of the back end serves. */
    public static RouteRow chat(RouteName name, String model, String backEnd) {
        return new RouteRow(name, RouteKind.CHAT, model, backEnd, true, 0, List.of());
    }
}
