package org.bramleylatch.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.RouterWorld;

/** Exports how late the event loop is, and logs what the process held when it was late. */
final class LagMonitor implements LongConsumer {
    /** Twice the period of the measurement; shorter delays are usual while a VM is busy. */
    private static final long MIN_LOGGED_MILLIS = 200;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final RouterWorld world;
    private final Consumer<Event> events;
    private final Gauge lagGauge;
    private final Counter lateCounter;

    /**
     * Creates a monitor and registers its metrics.
     *
     * @param world the tables of the router that runs on the event loop
     * @param events receives an event for each measurement that found the loop late
     */
    LagMonitor(PrometheusRegistry registry, RouterWorld world, Consumer<Event> events) {
        this.world = world;
        this.events = events;
        this.lagGauge =
                Gauge.builder()
                        .name("bramleylatch_gateway_loop_lag_seconds")
                        .help("Delay of the event loop's last periodic timer")
                        .register(registry);
        this.lateCounter =
                Counter.builder()
                        .name("bramleylatch_gateway_loop_late_total")
                        .help("Periodic timers that were late by 200 ms or more")
                        .register(registry);
    }

    @Override
    public void accept(long lateMillis) {
        lagGauge.set(lateMillis / MILLIS_PER_SECOND);
        if (lateMillis >= MIN_LOGGED_MILLIS) {
            lateCounter.inc();
            events.accept(
                    Event.of(
                            EventKind.LOOP_LATE,
                            world.self(),
                            "lateMillis=" + lateMillis + describeLoad()));
        }
    }

    private String describeLoad() {
        return " requests="
                + world.requests().size()
                + " attempts="
                + world.attempts().size()
                + " inbox="
                + world.inbox().size()
                + " configuration="
                + world.configuration().revision();
    }
}
