package org.bramleylatch.core;

import java.util.Optional;

/** Keeps a request's usage until it is durable in the log. */
final class Settlements {

    private Settlements() {}

    /**
     * Records a request's usage for settlement, at most its worst case.
     *
     * @param unfinishedRequest the request whose caller waits for the end of the answer, if any
     */
    static void open(
            RouterWorld world, RequestRow row, long tokens, Optional<RequestId> unfinishedRequest) {
        Usage usage = Usage.of(row.spec().key(), Math.min(tokens, row.spec().worstCaseTokens()));
        world.settlements()
                .put(
                        usage.key(),
                        new SettlementRow(
                                row.grant().orElseThrow(),
                                usage,
                                Optional.empty(),
                                unfinishedRequest));
    }

    /** Finishes the answer once a keeper holds its usage, or once that took too long. */
    static boolean finishAnswer(RouterWorld world, RequestKey key) {
        Optional<SettlementRow> row = world.settlements().find(key);
        row.flatMap(SettlementRow::unfinishedRequest)
                .flatMap(world.requests()::find)
                .ifPresent(request -> finishRequest(world, request));
        row.ifPresent(found -> world.settlements().put(key, found.answerFinished()));
        return row.isPresent();
    }

    /** Removes a request whose caller left before the end of its answer; its usage stays. */
    static void abandonAnswer(RouterWorld world, RequestRow request) {
        RequestKey key = request.spec().key();
        world.timers().clear(new RouterTimer.UsageHoldTimeout(key));
        world.settlements().update(key, SettlementRow::answerFinished);
        world.note(EventKind.REQUEST_FINISHED, key, "caller disconnected before the end");
        RequestCompletion.removeRequest(world, request);
    }

    /** Finishes the answer and removes its usage, which is now durable in the log. */
    static boolean close(RouterWorld world, RequestKey key) {
        finishAnswer(world, key);
        return world.settlements().remove(key).isPresent();
    }

    /** Ends the answer and removes the request. */
    static void finishRequest(RouterWorld world, RequestRow request) {
        RequestSpec spec = request.spec();
        world.timers().clear(new RouterTimer.UsageHoldTimeout(spec.key()));
        world.send(
                new RouterOutput.FinishAnswer(
                        spec.id(), "stop", spec.promptTokens(), request.deliveredTokens()));
        world.note(
                EventKind.REQUEST_FINISHED,
                spec.key(),
                "answerTokens=" + request.deliveredTokens());
        RequestCompletion.removeRequest(world, request);
    }
}
