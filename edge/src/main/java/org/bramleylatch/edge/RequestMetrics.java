package org.bramleylatch.edge;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.ResultCode;

/** Holds the metrics of a daemon that serves requests. */
public final class RequestMetrics {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Counter eventCounter;
    private final Counter refusalCounter;
    private final Gauge openRequestsGauge;
    private final Histogram firstTokenHistogram;

    /**
     * Registers the metrics.
     *
     * @param daemon the name of the daemon, part of the prefix of the metric names
     */
    public RequestMetrics(PrometheusRegistry registry, String daemon) {
        String prefix = "bramleylatch_" + daemon;
        eventCounter =
                Counter.builder()
                        .name(prefix + "_events_total")
                        .help("Events by kind")
                        .labelNames("kind")
                        .register(registry);
        refusalCounter =
                Counter.builder()
                        .name(prefix + "_refusals_total")
                        .help("Refused or broken requests by result code")
                        .labelNames("code")
                        .register(registry);
        openRequestsGauge =
                Gauge.builder()
                        .name(prefix + "_open_requests")
                        .help("Requests whose callers wait")
                        .register(registry);
        firstTokenHistogram =
                Histogram.builder()
                        .name(prefix + "_first_token_seconds")
                        .help("Time from arrival to the first token")
                        .register(registry);
    }

    /** Counts an event by its kind. */
    public void countEvent(EventKind kind) {
        eventCounter.labelValues(kind.name().toLowerCase(Locale.ROOT)).inc();
    }

    /** Counts a refused or failed request by its result code. */
    public void countRefusal(ResultCode code) {
        refusalCounter.labelValues(code.name()).inc();
    }

    /** Sets the number of requests whose callers wait. */
    public void setOpenRequests(int requests) {
        openRequestsGauge.set(requests);
    }

    /** Records the time from the arrival of a request to its first token, in milliseconds. */
    public void observeFirstTokenMillis(long millis) {
        firstTokenHistogram.observe(millis / MILLIS_PER_SECOND);
    }
}
