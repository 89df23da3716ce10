package org.bramleylatch.core;

import java.util.Optional;

/** Keeps usage until the log has it. */
final class Settlements {

    private Settlements() {}

    /**
     * Opens the settlement of a request.
     *
     * @param finishing the request whose caller waits for the end, if one does
     */
    static void open(
            RouterWorld world, RequestRow row, long tokens, Optional<RequestId> finishing) {
        Usage usage = Usage.of(row.spec().key(), Math.min(tokens, row.spec().worstCaseTokens()));
        world.settlements()
                .put(
                        usage.key(),
                        new SettlementRow(
                                row.grant().orElseThrow(), usage, Optional.empty(), finishing));
    }

    /** Ends the answer whose usage a keeper holds. */
    static boolean held(RouterWorld world, RequestKey key) {
        Optional<SettlementRow> row = world.settlements().find(key);
        row.flatMap(SettlementRow::finishing)
                .flatMap(world.requests()::find)
                .ifPresent(request -> finish(world, request));
        row.ifPresent(found -> world.settlements().put(key, found.finished()));
        return row.isPresent();
    }

    /** Forgets usage that the log has. */
    static boolean durable(RouterWorld world, RequestKey key) {
        held(world, key);
        return world.settlements().remove(key).isPresent();
    }

    static void finish(RouterWorld world, RequestRow request) {
        RequestSpec spec = request.spec();
        world.timers().clear(new RouterTimer.HoldWait(spec.key()));
        if (spec.route().kind() == RouteKind.CHAT) {
            world.send(
                    new RouterOutput.FinishAnswer(
                            spec.id(), "stop", spec.promptTokens(), request.position()));
            world.note(
                    EventKind.REQUEST_FINISHED, spec.key(), "answerTokens=" + request.position());
        }
        Outcomes.forget(world, request);
    }
}
