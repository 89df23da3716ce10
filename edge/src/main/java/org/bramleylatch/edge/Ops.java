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

/** Serves what operators' tools ask every daemon: metrics, health and readiness. */
public final class Ops {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private Ops() {}

    /**
     * Adds /metrics, /healthz and /readyz.
     *
     * @param ready tells whether new work is welcome; false while draining
     */
    public static void mount(Router router, PrometheusRegistry registry, BooleanSupplier ready) {
        AtomicBoolean asked = new AtomicBoolean();
        router.get("/metrics")
                .handler(
                        call -> {
                            // Beans of the runtime take long to load, and no start needs them.
                            if (asked.compareAndSet(false, true)) {
                                JvmMetrics.builder().register(registry);
                            }
                            writeMetrics(call, registry);
                        });
        router.get("/healthz").handler(call -> call.response().setStatusCode(OK).end("ok\n"));
        router.get("/readyz").handler(call -> writeReady(call, ready.getAsBoolean()));
    }

    private static void writeReady(RoutingContext call, boolean ready) {
        call.response()
                .setStatusCode(ready ? OK : UNAVAILABLE)
                .end(ready ? "ready\n" : "not ready\n");
    }

    private static void writeMetrics(RoutingContext call, PrometheusRegistry registry) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        call.response()
                .putHeader("content-type", PrometheusTextFormatWriter.CONTENT_TYPE)
                .end(Buffer.buffer(out.toByteArray()));
    }
}
