package org.bramleylatch.router;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.ResultCode;

/** Counts what a router does. */
final class RouterMetrics {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Counter events;
    private final Counter refusals;
    private final Gauge open;
    private final Histogram firstToken;

    RouterMetrics(PrometheusRegistry registry) {
        events =
                Counter.builder()
                        .name("bramleylatch_router_events_total")
                        .help("Events of the time line by kind")
                        .labelNames("kind")
                        .register(registry);
        refusals =
                Counter.builder()
                        .name("bramleylatch_router_refusals_total")
                        .help("Refused or broken requests by result code")
                        .labelNames("code")
                        .register(registry);
        open =
                Gauge.builder()
                        .name("bramleylatch_router_open_requests")
                        .help("Requests whose callers wait")
                        .register(registry);
        firstToken =
                Histogram.builder()
                        .name("bramleylatch_router_first_token_seconds")
                        .help("Time from arrival to the first token")
                        .register(registry);
    }

    void count(EventKind kind) {
        events.labelValues(kind.name().toLowerCase(Locale.ROOT)).inc();
    }

    void refused(ResultCode code) {
        refusals.labelValues(code.name()).inc();
    }

    void setOpen(int requests) {
        open.set(requests);
    }

    void firstToken(long millis) {
        firstToken.observe(millis / MILLIS_PER_SECOND);
    }
}
