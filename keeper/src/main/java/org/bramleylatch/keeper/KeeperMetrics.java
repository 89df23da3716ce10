package org.bramleylatch.keeper;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import org.bramleylatch.core.EventKind;

/** Counts the timeline events of a keeper by kind. */
final class KeeperMetrics {
    private final Counter eventCounter;

    KeeperMetrics(PrometheusRegistry registry) {
        eventCounter =
                Counter.builder()
                        .name("bramleylatch_keeper_events_total")
                        .help("Events of the time line by kind")
                        .labelNames("kind")
                        .register(registry);
    }

    void countEvent(EventKind kind) {
        eventCounter.labelValues(kind.name().toLowerCase(Locale.ROOT)).inc();
    }
}
