package org.bramleylatch.keeper;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import org.bramleylatch.core.EventKind;

/** Counts what a keeper does. */
final class KeeperMetrics {
    private final Counter events;

    KeeperMetrics(PrometheusRegistry registry) {
        events =
                Counter.builder()
                        .name("bramleylatch_keeper_events_total")
                        .help("Events of the time line by kind")
                        .labelNames("kind")
                        .register(registry);
    }

    /** Counts one event of the given kind. */
    void count(EventKind kind) {
        events.labelValues(kind.name().toLowerCase(Locale.ROOT)).inc();
    }
}
