package org.bramleylatch.core;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Holds the accepted configuration at one revision.
 *
 * @param revision the offset of the last accepted change, or -1 while none was read
 */
public record Configuration(long revision, List<MemberRow> members, List<RouteRow> routes) {

    /** Copies the lists. */
    public Configuration {
        members = List.copyOf(members);
        routes = List.copyOf(routes);
    }

    /** Returns the configuration before any change was accepted. */
    public static Configuration empty() {
        return new Configuration(-1, List.of(), List.of());
    }

    /** Returns true once at least one accepted change was read. */
    public boolean isKnown() {
        return revision >= 0;
    }

    /**
     * Selects among the routes of a host the one whose selector is the longest prefix of the path.
     *
     * @return the route; empty if no route names the host and a prefix of the path
     */
    public Optional<RouteRow> routeForHost(String host, String path) {
        return routes.stream()
                .filter(row -> path.startsWith(row.selector()))
                .filter(row -> row.options().host().filter(host::equals).isPresent())
                .max(Comparator.comparingInt(row -> row.selector().length()));
    }

    /** Finds the member whose API key has the given SHA-256 digest, in lower-case hexadecimal. */
    public Optional<MemberRow> member(String keySha256) {
        return members.stream().filter(row -> row.keySha256().equals(keySha256)).findFirst();
    }

    /** Finds the chat route of a model; empty if no chat route names it. */
    public Optional<RouteRow> chatRoute(String model) {
        return routes.stream()
                .filter(row -> row.kind() == RouteKind.CHAT && row.selector().equals(model))
                .findFirst();
    }

    /** Selects the service route whose selector is the longest prefix of the path. */
    public Optional<RouteRow> serviceRoute(String path) {
        return routes.stream()
                .filter(row -> row.kind() == RouteKind.SERVICE && path.startsWith(row.selector()))
                .max(Comparator.comparingInt(row -> row.selector().length()));
    }
}
