package org.bramleylatch.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.ResultCode;

/** Counts what the gateway does. */
final class GatewayMetrics {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Counter events;
    private final Counter refusals;
    private final Counter broken;
    private final Gauge open;
    private final Histogram firstToken;

    GatewayMetrics(PrometheusRegistry registry) {
        events =
                Counter.builder()
                        .name("bramleylatch_gateway_events_total")
                        .help("Events by kind")
                        .labelNames("kind")
                        .register(registry);
        refusals =
                Counter.builder()
                        .name("bramleylatch_gateway_refusals_total")
                        .help("Refused or broken requests by result code")
                        .labelNames("code")
                        .register(registry);
        broken =
                Counter.builder()
                        .name("bramleylatch_gateway_broken_requests_total")
                        .help("Requests that broke off before they were read")
                        .register(registry);
        open =
                Gauge.builder()
                        .name("bramleylatch_gateway_open_requests")
                        .help("Requests whose callers wait")
                        .register(registry);
        firstToken =
                Histogram.builder()
                        .name("bramleylatch_gateway_first_token_seconds")
                        .help("Time from arrival to the first token")
                        .register(registry);
    }

    void count(EventKind kind) {
        events.labelValues(kind.name().toLowerCase(Locale.ROOT)).inc();
    }

    void refused(ResultCode code) {
        refusals.labelValues(code.name()).inc();
    }

    void broken() {
        broken.inc();
    }

    void setOpen(int requests) {
        open.set(requests);
    }

    void firstToken(long millis) {
        firstToken.observe(millis / MILLIS_PER_SECOND);
    }
}
