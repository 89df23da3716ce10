package org.bramleylatch.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/** Finds the endpoints that may serve a request, by back end, version, health and signals. */
record Candidates(RouterWorld world, long nowMillis) {

    /**
     * Returns the endpoints that may serve the request now, in order of their ids. Unless the route
     * allows resumption anywhere, a partly delivered answer has only its latest endpoint, even if
     * that is leaving or ejected. Endpoints that failed the request are tried again only if there
     * is no other and the request ran but may be repeated.
     */
    List<EndpointRow> of(RequestRow row) {
        if (row.deliveredTokens() > 0 && !row.spec().route().options().resumesAtAnyEndpoint()) {
            return row.latestEndpoint().flatMap(world.endpoints()::find).stream().toList();
        }
        List<EndpointRow> others =
                acceptingEndpoints(row, versionFilter(row), row.failedEndpoints());
        boolean mayRepeat = row.runState() == RunState.RAN && row.spec().route().repeatable();
        return others.isEmpty() && mayRepeat
                ? acceptingEndpoints(row, versionFilter(row), Set.of())
                : others;
    }

    /**
     * Returns the endpoints of the old version that accept the request, in order of their ids;
     * empty unless a move of its route is running and no token has been delivered.
     */
    List<EndpointRow> ofOldVersion(RequestRow row) {
        return world.moveOf(row.spec())
                .filter(moveRow -> moveRow.move().isRunning() && row.deliveredTokens() == 0)
                .map(
                        moveRow ->
                                acceptingEndpoints(
                                        row,
                                        isOldVersion(row, moveRow.move().spec()),
                                        row.failedEndpoints()))
                .orElse(List.of());
    }

    private List<EndpointRow> acceptingEndpoints(
            RequestRow row, Predicate<Version> version, Set<EndpointId> excluded) {
        EndpointSignals signals = new EndpointSignals(world, nowMillis);
        List<EndpointRow> accepting =
                new ArrayList<>(
                        world.endpoints()
                                .where(
                                        endpoint ->
                                                endpoint.backEnd().equals(row.spec().backEnd())
                                                        && endpoint.acceptsWork(nowMillis)
                                                        && !signals.isPaused(endpoint.id())
                                                        && !excluded.contains(endpoint.id())
                                                        && version.test(endpoint.version())));
        accepting.sort(Comparator.comparing(EndpointRow::id));
        return accepting;
    }

    /**
     * Returns which versions may serve the request. During a move, retries go to the old version;
     * until an order's move has begun, its target gets nothing. Once a move is done and its target
     * has been replaced in turn, any version may serve but those that an order has not proved.
     */
    private Predicate<Version> versionFilter(RequestRow row) {
        Optional<RouterMoveRow> moveRow = world.moveOf(row.spec());
        if (moveRow.isEmpty()) {
            Optional<Version> chosen = row.spec().version();
            return mayServe(row)
                    .and(version -> chosen.filter(wanted -> !wanted.equals(version)).isEmpty());
        }
        MoveSpec spec = moveRow.get().move().spec();
        boolean isRetry = row.attemptCount() > 0 && moveRow.get().move().isRunning();
        if (moveRow.get().move().state() == MoveRow.State.DONE && !isListed(row, spec.to())) {
            return mayServe(row);
        }
        boolean goesToNew =
                !isRetry && moveRow.get().versionFor(row.spec().key()).equals(spec.to());
        return goesToNew ? spec.to()::equals : isOldVersion(row, spec);
    }

    private boolean isListed(RequestRow row, Version version) {
        return world.endpoints()
                .rows()
                .anyMatch(
                        endpoint ->
                                endpoint.backEnd().equals(row.spec().backEnd())
                                        && !endpoint.leavingSignals().withdrawn()
                                        && endpoint.version().equals(version));
    }

    /** An order names only its target, so that every other version that may serve is an old one. */
    private Predicate<Version> isOldVersion(RequestRow row, MoveSpec spec) {
        return spec.route().isOrdered()
                ? mayServe(row).and(version -> !version.equals(spec.to()))
                : spec.from()::equals;
    }

    private Predicate<Version> mayServe(RequestRow row) {
        return new OrderedVersions(world).mayServe(row.spec().backEnd());
    }
}
