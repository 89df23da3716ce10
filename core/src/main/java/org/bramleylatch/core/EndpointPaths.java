package org.bramleylatch.core;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.RouterInput.PathProbed;

/**
 * Tells an endpoint that is gone from a path that is gone, and chooses the path of each attempt:
 * direct, or through a peer VM that reaches the endpoint. The peer carries bytes and decides
 * nothing.
 *
 * <p>After a failed connection, peers are asked to connect to the endpoint. If one does, the direct
 * path is down, unless this VM may only have been late. If none does, the endpoint is at fault.
 * Once several paths went down in a row, this VM is cut off, and what it has not tried yet is taken
 * to be out of reach as well, until one direct connection succeeds.
 */
record EndpointPaths(RouterWorld world, long nowMillis) {
    /** Bounds how long a path is taken to be down that is sound again. */
    static final long CHECK_INTERVAL_MILLIS = 300;

    /** How long a failed connection stays a suspicion that no peer confirmed. */
    private static final long SUSPICION_MILLIS = 2_000;

    private static final int CUT_OFF_LINKS = 2;
    private static final int ASKED_PEERS = 3;
    private static final int PROBED_LINKS = 2;

    /** Lets the paths that are left recover within a few round trips once one has. */
    private static final int PROBED_AFTER_RECOVERY = 8;

    /** Returns the peer to go through; empty for a direct connection. */
    Optional<String> choose(EndpointId endpoint, AttemptId attempt) {
        if (!isDown(endpoint) && !isCutOff()) {
            return Optional.empty();
        }
        List<String> names = preferredPeers().stream().map(row -> row.vm().vm()).toList();
        return Rendezvous.order(attempt.value(), names).stream().findFirst();
    }

    /** Returns the peers of the own zone, unless few of them would carry the traffic of many. */
    private List<PeerPathRow> preferredPeers() {
        List<PeerPathRow> usable = usablePeers();
        List<PeerPathRow> nearby =
                usable.stream().filter(row -> row.vm().zone().equals(world.zone())).toList();
        long vmsOfZone = world.vms().rows().filter(vm -> vm.zone().equals(world.zone())).count();
        boolean isMostOfZone = 2L * nearby.size() >= vmsOfZone - 1;
        return nearby.isEmpty() || !isMostOfZone ? usable : nearby;
    }

    private List<PeerPathRow> usablePeers() {
        return paths().peers().where(row -> row.isUsable(nowMillis));
    }

    /** Returns true if several direct paths went down since the last direct connection. */
    boolean isCutOff() {
        return paths().links().size() >= CUT_OFF_LINKS
                && paths().links().where(this::wentDownSinceContact).size() >= CUT_OFF_LINKS;
    }

    private boolean wentDownSinceContact(LinkRow link) {
        return link.isDown() && link.sinceMillis() > paths().directContactMillis();
    }

    /**
     * Suspects the direct path to an endpoint, and asks peers whether they reach the endpoint.
     *
     * @param counts false if this VM's own lateness may be the cause
     */
    void recordDirectFailure(EndpointId endpoint, boolean counts) {
        LinkRow failed =
                paths().links()
                        .find(endpoint)
                        .map(link -> link.failedAgain(nowMillis))
                        .orElseGet(() -> LinkRow.suspected(endpoint, nowMillis));
        boolean countsNow =
                counts
                        || new TimeoutEvidence(world, nowMillis)
                                .exceedsLateness(failed.sinceMillis());
        LinkRow row = countsNow ? failed.counted() : failed;
        paths().links().put(endpoint, row);
        if (!row.isDown() && nowMillis - row.askedMillis() >= CHECK_INTERVAL_MILLIS) {
            askPeers(row, ASKED_PEERS);
        }
        scheduleCheck();
    }

    /** Records that a direct connection was established, which proves that path. */
    void recordDirectContact(EndpointId endpoint) {
        if (paths().links().size() == 0) {
            return;
        }
        paths().setDirectContactMillis(nowMillis);
        Optional<LinkRow> before = paths().links().remove(endpoint).filter(LinkRow::isDown);
        before.ifPresent(
                link -> {
                    note(EventKind.LINK_UP, endpoint, "");
                    probeDown(PROBED_AFTER_RECOVERY);
                });
    }

    /** Records an answer over a direct connection: time-outs before it came from own lateness. */
    void recordDirectAnswer(EndpointId endpoint) {
        paths().links()
                .find(endpoint)
                .filter(link -> !link.isCounted())
                .ifPresent(link -> paths().links().remove(endpoint));
    }

    /** Applies what a peer said of an endpoint; returns true if the peer reached it. */
    boolean applyProbe(PathProbed probed) {
        boolean connected = probed.outcome() == PathProbed.Outcome.CONNECTED;
        if (connected) {
            recordPeerSuccess(probed.peer());
            paths().links()
                    .find(probed.endpoint())
                    .filter(link -> link.isCounted() && !link.isDown())
                    .ifPresent(link -> markDown(link, probed.peer()));
        } else if (probed.outcome() == PathProbed.Outcome.PEER_FAILED) {
            recordPeerFailure(probed.peer());
        } else {
            confirmFailure(probed.endpoint());
        }
        return connected;
    }

    /** Records that a peer carried a connection to an endpoint. */
    void recordPeerSuccess(String peer) {
        updatePeer(peer, true);
    }

    /** Records that a peer could not be used to reach any endpoint. */
    void recordPeerFailure(String peer) {
        updatePeer(peer, false);
    }

    /** Tries paths that are down again, and asks peers anew while there are any. */
    void check() {
        paths().links()
                .removeIf(
                        link ->
                                !world.endpoints().has(link.endpoint())
                                        || !link.isDown()
                                                && nowMillis - link.failedMillis()
                                                        >= SUSPICION_MILLIS);
        if (paths().links().size() == 0) {
            paths().peers().removeIf(row -> true);
            return;
        }
        probeDown(PROBED_LINKS);
        if (isCutOff()) {
            probeAnother();
        }
        int asked = usablePeers().size() < ASKED_PEERS ? ASKED_PEERS : 1;
        leastAskedDown().ifPresent(link -> askPeers(link, asked));
        scheduleCheck();
    }

    private PathTables paths() {
        return world.paths();
    }

    private boolean isDown(EndpointId endpoint) {
        return paths().links().find(endpoint).filter(LinkRow::isDown).isPresent();
    }

    private void updatePeer(String peer, boolean succeeded) {
        world.vms()
                .find(peer)
                .map(vm -> paths().peers().findOrAdd(peer, () -> PeerPathRow.of(vm)))
                .map(row -> succeeded ? row.proven(nowMillis) : row.failed(nowMillis))
                .ifPresent(row -> paths().peers().put(peer, row));
    }

    private void markDown(LinkRow link, String peer) {
        boolean wasCutOff = isCutOff();
        paths().links().put(link.endpoint(), link.down());
        // The endpoint is sound, so that nothing is held against it.
        world.endpoints().update(link.endpoint(), EndpointRow::attemptSucceeded);
        note(EventKind.LINK_DOWN, link.endpoint(), "reached by=" + peer);
        if (!wasCutOff && isCutOff()) {
            world.endpoints()
                    .where(row -> true)
                    .forEach(row -> world.endpoints().put(row.id(), row.attemptSucceeded()));
            note(EventKind.LINKS_CUT, world.self(), "");
        }
    }

    /** Ejects an endpoint that a peer does not reach either, if this VM could not judge it. */
    private void confirmFailure(EndpointId endpoint) {
        paths().links()
                .find(endpoint)
                .filter(link -> !link.isCounted())
                .flatMap(link -> world.endpoints().find(endpoint))
                .filter(row -> nowMillis >= row.health().ejectedUntilMillis())
                .ifPresent(row -> world.endpoints().put(endpoint, row.connectionFailed(nowMillis)));
    }

    /** Asks the next few peers in an order that differs for each endpoint and time. */
    private void askPeers(LinkRow link, int count) {
        paths().links().put(link.endpoint(), link.asked(nowMillis));
        String self = world.self().vm();
        List<String> others = world.vms().keys().filter(vm -> !vm.equals(self)).toList();
        Rendezvous.order(link.endpoint() + "/" + nowMillis, others).stream()
                .limit(count)
                .map(peer -> new RouterOutput.ProbePath(link.endpoint(), peer))
                .forEach(world::send);
    }

    private Optional<LinkRow> leastAskedDown() {
        return paths().links()
                .rows()
                .filter(LinkRow::isDown)
                .min(Comparator.comparingLong(LinkRow::askedMillis));
    }

    private void probeDown(int count) {
        EndpointProbes probes = new EndpointProbes(world, nowMillis);
        paths().links().where(LinkRow::isDown).stream()
                .map(LinkRow::endpoint)
                .filter(endpoint -> !isProbeUnderWay(endpoint))
                .sorted(Comparator.comparingLong(this::probedMillis))
                .limit(count)
                .forEach(probes::probe);
    }

    /** Probes an endpoint whose path is not known to be down, as only some may be cut off. */
    private void probeAnother() {
        world
                .endpoints()
                .where(row -> !paths().links().has(row.id()) && !isProbeUnderWay(row.id()))
                .stream()
                .map(EndpointRow::id)
                .min(Comparator.comparingLong(this::probedMillis))
                .ifPresent(new EndpointProbes(world, nowMillis)::probe);
    }

    private boolean isProbeUnderWay(EndpointId endpoint) {
        return new EndpointProbes(world, nowMillis)
                .contactOf(endpoint)
                .filter(contact -> contact.isProbeUnderWay(nowMillis))
                .isPresent();
    }

    private long probedMillis(EndpointId endpoint) {
        return new EndpointProbes(world, nowMillis)
                .contactOf(endpoint)
                .map(EndpointContact::probedMillis)
                .orElse(0L);
    }

    private void scheduleCheck() {
        RouterTimer check = new RouterTimer.PathCheck();
        if (!world.timers().has(check)) {
            world.timers().set(check, nowMillis + CHECK_INTERVAL_MILLIS);
        }
    }

    private void note(EventKind kind, Object subject, String detail) {
        world.note(
                kind,
                subject,
                detail
                        + (detail.isEmpty() ? "" : " ")
                        + "down="
                        + paths().links().where(LinkRow::isDown).size()
                        + " of="
                        + world.endpoints().size()
                        + " peers="
                        + usablePeers().size());
    }
}
