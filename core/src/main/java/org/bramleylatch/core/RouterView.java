package org.bramleylatch.core;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.bramleylatch.core.RouterInput.ConfigurationSeen;
import org.bramleylatch.core.RouterInput.EndpointReported;
import org.bramleylatch.core.RouterInput.EndpointsListed;
import org.bramleylatch.core.RouterInput.KeeperBeside;
import org.bramleylatch.core.RouterInput.KeeperDown;
import org.bramleylatch.core.RouterInput.KeeperUp;
import org.bramleylatch.core.RouterInput.MoveChanged;
import org.bramleylatch.core.RouterInput.RoutersKnown;

/** Keeps a router's view of the configuration, the endpoints and the keepers. */
record RouterView(RouterWorld world, RouterLimits limits, long nowMillis) {

    /** Takes a configuration unless it is older than the one in force. */
    boolean configure(ConfigurationSeen seen) {
        boolean newer = seen.configuration().revision() > world.configuration().revision();
        if (newer) {
            world.setConfiguration(seen.configuration());
            world.note(
                    EventKind.CONFIGURATION_APPLIED,
                    "configuration",
                    "revision=" + seen.configuration().revision());
        }
        return newer;
    }

    /** Takes the platform's list; endpoints that left it get no new work. */
    boolean list(EndpointsListed listed) {
        EndpointSubset subset =
                new EndpointSubset(world.self(), world.zone(), limits.mostEndpoints());
        Map<EndpointId, EndpointRow> byId =
                subset.of(listed.endpoints()).stream()
                        .collect(Collectors.toMap(EndpointRow::id, Function.identity()));
        List<EndpointRow> known = world.endpoints().where(row -> true);
        known.stream().filter(row -> !byId.containsKey(row.id())).forEach(this::unlist);
        byId.values().forEach(this::merge);
        return true;
    }

    /** Takes an endpoint's report of its load and of whether it leaves. */
    boolean report(EndpointReported report) {
        Optional<EndpointRow> before = world.endpoints().find(report.endpoint());
        before.filter(row -> !row.leaving().own() && report.leaving())
                .ifPresent(
                        row -> world.note(EventKind.ENDPOINT_LEAVING, row.id(), "its own report"));
        return world.endpoints()
                .update(
                        report.endpoint(),
                        row ->
                                row.reported(report.heldTokens())
                                        .leaving(row.leaving().own(report.leaving())))
                .isPresent();
    }

    /** Takes a keeper into use. */
    boolean keeperUp(KeeperUp up) {
        boolean isNew = world.keepers().add(up.keeper());
        if (isNew) {
            world.note(EventKind.KEEPER_FOUND, up.keeper(), "keepers=" + world.keepers().size());
        }
        return isNew;
    }

    /** Moves what waited for a lost keeper to another one. */
    boolean keeperDown(KeeperDown down) {
        world.keepers().remove(down.keeper());
        world.note(EventKind.KEEPER_LOST, down.keeper(), "keepers=" + world.keepers().size());
        world.settlements()
                .where(row -> row.keeper().filter(down.keeper()::equals).isPresent())
                .forEach(row -> world.settlements().put(row.usage().key(), row.lost()));
        world.requests()
                .where(row -> row.keeper().filter(down.keeper()::equals).isPresent())
                .forEach(this::keeperLost);
        return true;
    }

    /** Takes the state of a move; an older one changes nothing. */
    boolean move(MoveChanged changed) {
        RouteName route = changed.move().spec().route();
        MoveWatch after =
                world.moves()
                        .find(route)
                        .map(watch -> watch.seen(changed.move()))
                        .orElseGet(() -> MoveWatch.of(changed.move()));
        world.moves().put(route, after);
        return true;
    }

    /** Takes among how many routers the fleet's allowances are split; it only grows. */
    boolean routersKnown(RoutersKnown known) {
        world.setRouters(Math.max(world.routers(), known.count()));
        return true;
    }

    /** Takes the keeper of the own process into use; it comes before all others. */
    boolean keeperBeside(KeeperBeside beside) {
        world.setBeside(beside.keeper());
        return world.keepers().add(beside.keeper());
    }

    /** Begins a planned stop. */
    boolean stop() {
        world.setStopping();
        return true;
    }

    private void keeperLost(RequestRow row) {
        if (row.stage() == RequestRow.Stage.RESERVING) {
            Admission.askKeeper(world, row);
        } else if (row.stage() == RequestRow.Stage.CLAIMING) {
            Outcomes.refuse(world, row, ResultCode.LOG_UNAVAILABLE, "keeper lost");
        }
    }

    void merge(EndpointRow listing) {
        EndpointRow merged =
                world.endpoints()
                        .find(listing.id())
                        .map(old -> old.listed(listing))
                        .orElse(listing);
        world.endpoints().put(listing.id(), merged);
    }

    void unlist(EndpointRow row) {
        if (row.load().outstanding() > 0) {
            world.endpoints().put(row.id(), row.leaving(row.leaving().listed(true)));
        } else {
            world.endpoints().remove(row.id());
        }
    }
}
