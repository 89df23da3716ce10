package org.bramleylatch.gateway;

import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.RouterWorld;

/** Logs the steps of a planned stop, and what is still open at each. */
final class StopLog implements ObjLongConsumer<PlannedStop.Step> {
    private final RouterWorld world;
    private final CallerServer callerServer;
    private final Consumer<Event> events;

    /**
     * Creates a log.
     *
     * @param events receives an event for each step
     */
    StopLog(RouterWorld world, CallerServer callerServer, Consumer<Event> events) {
        this.world = world;
        this.callerServer = callerServer;
        this.events = events;
    }

    @Override
    public void accept(PlannedStop.Step step, long sinceAskedMillis) {
        String detail =
                "step="
                        + step
                        + " sinceSignalMillis="
                        + sinceAskedMillis
                        + " requests="
                        + world.requests().size()
                        + " attempts="
                        + world.attempts().size()
                        + " connections="
                        + callerServer.connections().count()
                        + " unwrittenAnswers="
                        + callerServer.unwrittenAnswers();
        EventKind kind =
                step == PlannedStop.Step.ASKED ? EventKind.PROCESS_STOPPED : EventKind.STOP_STEP;
        events.accept(Event.of(kind, world.self(), detail));
    }
}
