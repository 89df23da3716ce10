package org.bramleylatch.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.Table;
import org.bramleylatch.edge.LinkUse;

/** Exports and logs how many bytes the VM moves over its link, by use. */
final class LinkMonitor {
    private static final long PERIOD_MILLIS = 1_000;

    /** A VM that moves less than this in a second is not worth a line. */
    private static final long MIN_LOGGED_BYTES = 64 * 1024;

    private final InstantSource clock;
    private final String vm;
    private final Supplier<List<LinkUse>> uses;
    private final Consumer<Event> events;
    private final Counter byteCounter;
    private final Table<String, LinkUse> earlier = Table.empty();
    private long measuredMillis;

    /**
     * Creates a monitor and registers its metrics.
     *
     * @param uses supplies what was moved since the process started
     * @param events receives an event for each second in which much was moved
     */
    LinkMonitor(
            PrometheusRegistry registry,
            InstantSource clock,
            String vm,
            Supplier<List<LinkUse>> uses,
            Consumer<Event> events) {
        this.clock = clock;
        this.vm = vm;
        this.uses = uses;
        this.events = events;
        this.measuredMillis = clock.millis();
        this.byteCounter =
                Counter.builder()
                        .name("bramleylatch_gateway_link_bytes_total")
                        .help("Bytes moved over the VM's link by use and direction")
                        .labelNames("use", "direction")
                        .register(registry);
    }

    /** Starts to measure once a second. */
    void start(Vertx vertx) {
        vertx.setPeriodic(PERIOD_MILLIS, tick -> measure());
    }

    private void measure() {
        List<LinkUse> moved = uses.get().stream().map(this::sinceLast).toList();
        moved.forEach(this::count);
        long elapsedMillis = clock.millis() - measuredMillis;
        measuredMillis = clock.millis();
        long bytes = moved.stream().mapToLong(use -> use.readBytes() + use.writtenBytes()).sum();
        if (bytes >= MIN_LOGGED_BYTES) {
            events.accept(
                    Event.of(
                            EventKind.LINK_USED,
                            vm,
                            "elapsedMillis=" + elapsedMillis + " " + describe(moved)));
        }
    }

    private LinkUse sinceLast(LinkUse now) {
        LinkUse moved = earlier.find(now.use()).map(now::since).orElse(now);
        earlier.put(now.use(), now);
        return moved;
    }

    private void count(LinkUse moved) {
        byteCounter.labelValues(moved.use(), "read").inc(moved.readBytes());
        byteCounter.labelValues(moved.use(), "written").inc(moved.writtenBytes());
    }

    /** Returns the bytes read and written of each use. */
    private static String describe(List<LinkUse> moved) {
        return moved.stream()
                .sorted(Comparator.comparing(LinkUse::use))
                .map(use -> use.use() + "=" + use.readBytes() + "/" + use.writtenBytes())
                .collect(Collectors.joining(" "));
    }
}
