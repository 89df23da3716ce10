package org.bramleylatch.core;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Is the accepted configuration at one revision.
 *
 * @param revision the offset of the last accepted change
 */
public record Configuration(long revision, List<MemberRow> members, List<RouteRow> routes) {

    /** Copies the lists. */
    public Configuration {
        members = List.copyOf(members);
        routes = List.copyOf(routes);
    }

    /** Returns the configuration in which nothing was accepted yet. */
    public static Configuration empty() {
        return new Configuration(-1, List.of(), List.of());
    }

    /** Returns true if a configuration has been read. */
    public boolean isKnown() {
        return revision >= 0;
    }

    /** Returns true if callers have keys. */
    public boolean hasMembers() {
        return !members.isEmpty();
    }

    /** Returns the route of the host with the longest prefix of the path. */
    public Optional<RouteRow> routeOf(String host, String path) {
        return routes.stream()
                .filter(row -> path.startsWith(row.selector()))
                .filter(row -> row.terms().host().filter(host::equals).isPresent())
                .max(Comparator.comparingInt(row -> row.selector().length()));
    }

    /** Returns the member whose key has the given digest. */
    public Optional<MemberRow> member(String keySha256) {
        return members.stream().filter(row -> row.keySha256().equals(keySha256)).findFirst();
    }

    /** Returns the chat route for a model. */
    public Optional<RouteRow> chatRoute(String model) {
        return routes.stream()
                .filter(row -> row.kind() == RouteKind.CHAT && row.selector().equals(model))
                .findFirst();
    }

    /** Returns the service route with the longest prefix of the path. */
    public Optional<RouteRow> serviceRoute(String path) {
        return routes.stream()
                .filter(row -> row.kind() == RouteKind.SERVICE && path.startsWith(row.selector()))
                .max(Comparator.comparingInt(row -> row.selector().length()));
    }
}
