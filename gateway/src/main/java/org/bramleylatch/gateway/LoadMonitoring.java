package org.bramleylatch.gateway;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.function.Consumer;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterWorld;
import org.bramleylatch.core.VmLoad;
import org.bramleylatch.edge.LinkMeter;
import org.bramleylatch.edge.LoopLag;
import org.bramleylatch.platform.BootFile;

/**
 * Measures the load of the VM, and passes it to the logs and the shedding of load, and to the
 * router while it is or was excessive.
 */
final class LoadMonitoring {
    private final RouterWorld world;
    private final Consumer<RouterInput> routerInbox;
    private final LoopLag loopLag;
    private final LagMonitor lagMonitor;
    private final LinkMonitor linkMonitor;
    private final LoadShedding shedding;
    private final LoadMeter meter;

    /**
     * Creates the monitoring, and registers its metrics; nothing is measured before the start.
     *
     * @param linkMeter the meter that the runtime reports to
     * @param events receives events about lateness, bytes and rotation
     */
    LoadMonitoring(
            InstantSource clock,
            BootFile boot,
            LinkMeter linkMeter,
            PrometheusRegistry registry,
            RouterWorld world,
            Consumer<RouterInput> routerInbox,
            Consumer<Event> events) {
        this.world = world;
        this.routerInbox = routerInbox;
        this.loopLag = new LoopLag(clock, this::measure);
        this.lagMonitor = new LagMonitor(registry, world, events);
        this.linkMonitor = new LinkMonitor(registry, clock, boot.vm(), linkMeter::uses, events);
        this.shedding =
                new LoadShedding(clock, boot.vm(), loopLag::millis, world::countVmsOfZone, events);
        this.meter =
                new LoadMeter(
                        clock, boot.limits().linkBytesPerSecond(), linkMeter::uses, this::apply);
    }

    /** Starts to measure the event loop that calls this. */
    void start(Vertx vertx) {
        loopLag.start(vertx);
        linkMonitor.start(vertx);
    }

    /** Returns by how many milliseconds what is read now may have waited for the event loop. */
    long lagMillis() {
        return loopLag.millis();
    }

    /** Returns what bounds the requests that the VM takes on. */
    LoadShedding shedding() {
        return shedding;
    }

    private void measure(long lateMillis) {
        lagMonitor.accept(lateMillis);
        meter.accept(lateMillis);
    }

    private void apply(VmLoad load) {
        shedding.accept(load);
        boolean isNews = load.isExcessive() || world.load().isExcessive();
        if (isNews && !load.equals(world.load())) {
            routerInbox.accept(new RouterInput.LoadMeasured(load));
        }
    }
}
