package org.bramleylatch.edge;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

/** Serves the metrics, liveness and readiness of a daemon to monitoring tools. */
public final class MonitoringHandlers {
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;

    private MonitoringHandlers() {}

    /**
     * Adds /metrics, /healthz and /readyz.
     *
     * @param isReady returns whether the daemon accepts new requests; false while it drains
     */
    public static void mount(Router router, PrometheusRegistry registry, BooleanSupplier isReady) {
        AtomicBoolean jvmMetricsRegistered = new AtomicBoolean();
        router.get("/metrics")
                .handler(
                        call -> {
                            // The JVM metrics load slowly and no start needs them, so the first
                            // scrape registers them.
                            if (jvmMetricsRegistered.compareAndSet(false, true)) {
                                JvmMetrics.builder().register(registry);
                            }
                            writeMetrics(call, registry);
                        });
        router.get("/healthz")
                .handler(call -> call.response().setStatusCode(STATUS_OK).end("ok\n"));
        router.get("/readyz").handler(call -> writeReadiness(call, isReady.getAsBoolean()));
    }

    private static void writeReadiness(RoutingContext call, boolean isReady) {
        call.response()
                .setStatusCode(isReady ? STATUS_OK : STATUS_UNAVAILABLE)
                .end(isReady ? "ready\n" : "not ready\n");
    }

    private static void writeMetrics(RoutingContext call, PrometheusRegistry registry) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException ioFailure) {
            throw new UncheckedIOException(ioFailure);
        }
        call.response()
                .putHeader("content-type", PrometheusTextFormatWriter.CONTENT_TYPE)
                .end(Buffer.buffer(out.toByteArray()));
    }
}
