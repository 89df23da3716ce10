package org.bramleylatch.core;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.bramleylatch.core.RouterInput.ConfigurationConfirmed;
import org.bramleylatch.core.RouterInput.ConfigurationReceived;
import org.bramleylatch.core.RouterInput.EndpointReported;
import org.bramleylatch.core.RouterInput.EndpointsListed;
import org.bramleylatch.core.RouterInput.KeeperDown;
import org.bramleylatch.core.RouterInput.KeeperUp;
import org.bramleylatch.core.RouterInput.LoadMeasured;
import org.bramleylatch.core.RouterInput.LocalKeeperUp;
import org.bramleylatch.core.RouterInput.MoveChanged;
import org.bramleylatch.core.RouterInput.RoutersCounted;
import org.bramleylatch.core.RouterInput.VmsAnnounced;

/**
 * Applies messages about the configuration, the endpoints, the keepers and the moves of the fleet
 * to a router's tables.
 */
record FleetUpdates(RouterWorld world, RouterLimits limits, long nowMillis) {

    /** Applies a configuration if it is newer than the one in force. */
    boolean applyConfiguration(ConfigurationReceived received) {
        boolean isNewer = received.configuration().revision() > world.configuration().revision();
        if (isNewer) {
            world.setConfiguration(received.configuration());
            world.note(
                    EventKind.CONFIGURATION_APPLIED,
                    "configuration",
                    "revision=" + received.configuration().revision());
        }
        return isNewer;
    }

    /** Records that no newer configuration was in force at the given time. */
    boolean confirmConfiguration(ConfigurationConfirmed confirmed) {
        world.confirmConfiguration(confirmed.asOfMillis());
        return true;
    }

    /** Replaces the measurement of this VM's load. */
    boolean applyLoad(LoadMeasured measured) {
        world.setLoad(measured.load());
        return true;
    }

    /**
     * Applies the platform's list. An endpoint that is not listed any more gets no new work and is
     * removed once it runs no request.
     */
    boolean applyListing(EndpointsListed listed) {
        EndpointSubset subset =
                new EndpointSubset(world.self(), world.zone(), limits.maxEndpointsPerVersion());
        Map<EndpointId, EndpointRow> byId =
                subset.select(listed.endpoints()).stream()
                        .collect(Collectors.toMap(EndpointRow::id, Function.identity()));
        List<EndpointRow> known = world.endpoints().where(row -> true);
        known.stream().filter(row -> !byId.containsKey(row.id())).forEach(this::withdraw);
        byId.values().forEach(this::addOrUpdate);
        return true;
    }

    /** Applies an endpoint's report of its load and of whether it is leaving. */
    boolean applyReport(EndpointReported report) {
        Optional<EndpointRow> known = world.endpoints().find(report.endpoint());
        known.filter(row -> !row.leavingSignals().reportedLeaving() && report.leaving())
                .ifPresent(
                        row ->
                                world.note(
                                        EventKind.ENDPOINT_LEAVING,
                                        row.id(),
                                        "reported by the endpoint itself"));
        return world.endpoints()
                .update(
                        report.endpoint(),
                        row ->
                                row.tokensReported(report.heldTokens())
                                        .withLeavingSignals(
                                                row.leavingSignals()
                                                        .withReportedLeaving(report.leaving())))
                .isPresent();
    }

    /** Adds a connected keeper; returns true if it is new. */
    boolean addKeeper(KeeperUp up) {
        boolean isNew = world.keepers().add(up.keeper());
        if (isNew) {
            world.note(EventKind.KEEPER_FOUND, up.keeper(), "keepers=" + world.keepers().size());
        }
        return isNew;
    }

    /**
     * Removes a disconnected keeper. Its unsettled usage and the requests that wait for a
     * reservation go to another keeper; requests that wait for a claim are refused.
     */
    boolean removeKeeper(KeeperDown down) {
        world.keepers().remove(down.keeper());
        world.silentKeepers().remove(down.keeper());
        world.lateness().awaitedKeepers().remove(down.keeper());
        world.note(EventKind.KEEPER_LOST, down.keeper(), "keepers=" + world.keepers().size());
        world.settlements()
                .where(row -> row.keeper().filter(down.keeper()::equals).isPresent())
                .forEach(row -> world.settlements().put(row.usage().key(), row.withoutKeeper()));
        world.requests()
                .where(row -> row.keeper().filter(down.keeper()::equals).isPresent())
                .forEach(this::askOtherKeeperOrRefuse);
        return true;
    }

    /** Applies the state of a move; an older one changes nothing. */
    boolean applyMove(MoveChanged changed) {
        RouteName route = changed.move().spec().route();
        RouterMoveRow after =
                world.moves()
                        .find(route)
                        .map(row -> row.withMove(changed.move()))
                        .orElseGet(() -> RouterMoveRow.of(changed.move()));
        world.moves().put(route, after);
        new OrderedVersions(world).recordMove(after.move());
        return true;
    }

    /** Sets the number of routers that share the fleet's retry allowance; it never decreases. */
    boolean raiseRouterCount(RoutersCounted counted) {
        world.setRouterCount(Math.max(world.routerCount(), counted.count()));
        return true;
    }

    /** Selects the holders anew; a VM that was announced stays known when it is gone. */
    boolean applyVms(VmsAnnounced announced) {
        announced.vms().forEach(vm -> world.vms().put(vm.vm(), vm));
        world.setHolders(HolderSelection.among(world.vms().rows().toList()));
        return true;
    }

    /** Adds the keeper of this process, which is preferred to all others. */
    boolean setLocalKeeper(LocalKeeperUp local) {
        world.setLocalKeeper(local.keeper());
        return world.keepers().add(local.keeper());
    }

    /** Begins a planned stop. */
    boolean beginStop() {
        world.setStopping();
        return true;
    }

    /**
     * Ends every open request, as its caller would otherwise get nothing but a closed connection.
     */
    boolean endOpenRequests() {
        beginStop();
        world.requests().where(row -> true).forEach(this::finishOrRefuse);
        return true;
    }

    private void finishOrRefuse(RequestRow row) {
        if (row.stage() == RequestRow.Stage.SETTLING) {
            Settlements.finishAnswer(world, row.spec().key());
        } else {
            RequestCompletion.refuse(
                    world, row, ResultCode.SHUTTING_DOWN, "the process ends before the answer");
        }
    }

    private void askOtherKeeperOrRefuse(RequestRow row) {
        if (row.stage() == RequestRow.Stage.RESERVING) {
            Admission.askKeeper(world, row);
        } else if (row.stage() == RequestRow.Stage.CLAIMING) {
            RequestCompletion.refuse(
                    world, row, ResultCode.LOG_UNAVAILABLE, "connection to the keeper lost");
        }
    }

    /** Adds a listed endpoint, or updates it and keeps its load and health. */
    void addOrUpdate(EndpointRow listing) {
        EndpointRow merged =
                world.endpoints()
                        .find(listing.id())
                        .map(old -> old.withListing(listing))
                        .orElse(listing);
        world.endpoints().put(listing.id(), merged);
    }

    /** Marks an endpoint as withdrawn; it is removed once it runs no request of this router. */
    void withdraw(EndpointRow row) {
        world.endpoints().put(row.id(), row.withLeavingSignals(row.leavingSignals().asWithdrawn()));
    }
}
