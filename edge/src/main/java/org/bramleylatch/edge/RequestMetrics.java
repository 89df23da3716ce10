package org.bramleylatch.edge;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.ResultCode;

/** Counts what a daemon does for its callers. */
public final class RequestMetrics {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Counter events;
    private final Counter refusals;
    private final Gauge open;
    private final Histogram firstToken;

    /**
     * Registers the metrics.
     *
     * @param daemon the daemon's name, which theirs begin with
     */
    public RequestMetrics(PrometheusRegistry registry, String daemon) {
        String prefix = "bramleylatch_" + daemon;
        events =
                Counter.builder()
                        .name(prefix + "_events_total")
                        .help("Events by kind")
                        .labelNames("kind")
                        .register(registry);
        refusals =
                Counter.builder()
                        .name(prefix + "_refusals_total")
                        .help("Refused or broken requests by result code")
                        .labelNames("code")
                        .register(registry);
        open =
                Gauge.builder()
                        .name(prefix + "_open_requests")
                        .help("Requests whose callers wait")
                        .register(registry);
        firstToken =
                Histogram.builder()
                        .name(prefix + "_first_token_seconds")
                        .help("Time from arrival to the first token")
                        .register(registry);
    }

    /** Counts an event. */
    public void count(EventKind kind) {
        events.labelValues(kind.name().toLowerCase(Locale.ROOT)).inc();
    }

    /** Counts a request that was refused or broke. */
    public void refused(ResultCode code) {
        refusals.labelValues(code.name()).inc();
    }

    /** Notes how many requests are open. */
    public void setOpen(int requests) {
        open.set(requests);
    }

    /** Notes the time from a request's arrival to its first token. */
    public void firstToken(long millis) {
        firstToken.observe(millis / MILLIS_PER_SECOND);
    }
}
