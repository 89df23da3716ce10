package org.bramleylatch.gateway;

import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.Rotation;
import org.bramleylatch.core.VmLoad;

/** Applies what {@link Rotation} decides: readiness, and refusals before a body is read. */
final class LoadShedding implements Consumer<VmLoad> {
    /** A call that has waited for longer can hardly be answered in time. */
    private static final long MAX_LAG_MILLIS = 100;

    /** Two readiness checks, after which the platform sends new connections to other VMs. */
    private static final long MOVE_MILLIS = 2_000;

    private static final long RECONNECT_MILLIS = 50;

    /** Spreads the return of callers that are refused together. */
    private static final long SPREAD_MILLIS = 500;

    private static final long SPREAD_STEP_MILLIS = 37;
    private static final long MAX_COUNTED_MILLIS = 300;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final InstantSource clock;
    private final String vm;
    private final LongSupplier lag;
    private final LongSupplier vmsOfZone;
    private final Consumer<Event> events;
    private Rotation rotation = Rotation.initial();
    private long leftMillis;
    private long measuredMillis;
    private int arrived;
    private int refused;
    private long refusedInAll;
    private double requestsPerSecond;

    /**
     * Creates the shedding of a VM without load.
     *
     * @param lag supplies by how many milliseconds the event loop is late now
     * @param vmsOfZone supplies the number of known VMs of the zone
     * @param events receives an event when the VM leaves the rotation and when it returns
     */
    LoadShedding(
            InstantSource clock,
            String vm,
            LongSupplier lag,
            LongSupplier vmsOfZone,
            Consumer<Event> events) {
        this.clock = clock;
        this.vm = vm;
        this.lag = lag;
        this.vmsOfZone = vmsOfZone;
        this.events = events;
        this.measuredMillis = clock.millis();
    }

    @Override
    public void accept(VmLoad load) {
        long nowMillis = clock.millis();
        measureRequests(Math.min(nowMillis - measuredMillis, MAX_COUNTED_MILLIS));
        measuredMillis = nowMillis;
        boolean wasIn = rotation.isIn();
        rotation =
                rotation.next(
                        load, requestsPerSecond, refused > 0, vmsOfZone.getAsLong(), nowMillis);
        arrived = 0;
        refused = 0;
        if (wasIn && !rotation.isIn()) {
            leftMillis = nowMillis;
            note(EventKind.ROTATION_LEFT, load);
        } else if (!wasIn && rotation.isIn()) {
            note(EventKind.ROTATION_JOINED, load);
        }
    }

    /** Returns true if the VM asks for new connections. */
    boolean isInRotation() {
        return rotation.isIn();
    }

    /**
     * Counts a request that arrives now. Returns empty if it is to be served; otherwise its body is
     * not to be read, and the result is after how many milliseconds its caller should send it again
     * over a new connection, which reaches another VM then.
     */
    Optional<Long> takeOn() {
        arrived++;
        if (rotation.isIn() || lag.getAsLong() < MAX_LAG_MILLIS) {
            return Optional.empty();
        }
        refused++;
        refusedInAll++;
        return Optional.of(retryMillis());
    }

    private long retryMillis() {
        long untilMovedMillis = Math.max(0, leftMillis + MOVE_MILLIS - clock.millis());
        return RECONNECT_MILLIS
                + untilMovedMillis
                + refusedInAll * SPREAD_STEP_MILLIS % SPREAD_MILLIS;
    }

    private void measureRequests(long elapsedMillis) {
        double weight = 1 - Math.exp(-elapsedMillis / MILLIS_PER_SECOND);
        double newest = arrived * MILLIS_PER_SECOND / Math.max(1, elapsedMillis);
        requestsPerSecond += weight * (newest - requestsPerSecond);
    }

    private void note(EventKind kind, VmLoad load) {
        events.accept(
                Event.of(kind, vm, load + " requestsPerSecond=" + Math.round(requestsPerSecond)));
    }
}
