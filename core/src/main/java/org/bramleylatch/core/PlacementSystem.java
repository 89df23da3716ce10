package org.bramleylatch.core;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.RequestRow.Stage;

/** Starts attempts of queued requests at endpoints that have room. */
record PlacementSystem(Placement placement, RouterLimits limits)
        implements TickSystem<RouterWorld> {

    @Override
    public void run(RouterWorld world, long nowMillis) {
        if (!world.queued().isEmpty()) {
            List.copyOf(world.queued()).stream()
                    .flatMap(id -> world.requests().find(id).stream())
                    .filter(row -> row.stage() == Stage.QUEUED)
                    .sorted(Comparator.comparingInt(row -> row.spec().traits().priority()))
                    .forEach(row -> place(world, row, nowMillis));
        }
    }

    private void place(RouterWorld world, RequestRow row, long nowMillis) {
        List<EndpointRow> open = open(world, row, nowMillis);
        if (open.isEmpty()) {
            ResultCode code =
                    row.position() > 0 ? ResultCode.ANSWER_INCOMPLETE : ResultCode.NO_ENDPOINT;
            Outcomes.refuse(world, row, code, "no open endpoint");
            return;
        }
        long need = row.spec().worstCaseTokens();
        List<EndpointRow> roomy = open.stream().filter(e -> e.fits(need)).toList();
        placement
                .choose(row.spec(), world.zone(), roomy)
                .ifPresent(endpoint -> start(world, row, endpoint, nowMillis));
    }

    /** Goes back to the old version if the new one can't serve, which counts against it. */
    private static List<EndpointRow> open(RouterWorld world, RequestRow row, long nowMillis) {
        List<EndpointRow> open = world.candidates(row, nowMillis);
        List<EndpointRow> old = open.isEmpty() ? world.oldCandidates(row, nowMillis) : List.of();
        if (!old.isEmpty()) {
            MoveSystem.unserved(world, row);
        }
        return open.isEmpty() ? old : open;
    }

    private void start(RouterWorld world, RequestRow row, EndpointRow endpoint, long nowMillis) {
        AttemptId attempt = world.newAttemptId();
        RequestSpec spec = row.spec();
        long need = spec.worstCaseTokens();
        world.queued().remove(spec.id());
        world.requests().put(spec.id(), row.started(attempt, endpoint.id()));
        world.attempts()
                .put(
                        attempt,
                        new AttemptRow(
                                attempt,
                                spec.id(),
                                endpoint.id(),
                                need,
                                spec.promptTokens(),
                                row.position(),
                                nowMillis,
                                0,
                                nowMillis,
                                false));
        world.endpoints().put(endpoint.id(), endpoint.sent(need, spec.promptTokens()));
        world.timers()
                .set(new RouterTimer.AttemptCheck(attempt), nowMillis + limits.firstTokenMillis());
        noteAttempt(world, row, attempt, endpoint.id());
        world.send(
                new RouterOutput.StartAttempt(attempt, spec.id(), endpoint.id(), row.position()));
        world.note(
                EventKind.ATTEMPT_STARTED,
                spec.key(),
                "attempt=" + attempt + " endpoint=" + endpoint.id());
    }

    private static void noteAttempt(
            RouterWorld world, RequestRow row, AttemptId attempt, EndpointId endpoint) {
        Optional<Incarnation> keeper = row.keeper().filter(k -> row.grant().isPresent());
        keeper.map(
                        k ->
                                new RouterOutput.ToKeeper(
                                        k,
                                        new KeeperInput.AttemptNoted(
                                                world.self(), row.spec().key(), attempt, endpoint)))
                .ifPresent(world::send);
    }
}
