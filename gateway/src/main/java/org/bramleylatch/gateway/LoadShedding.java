package org.bramleylatch.gateway;

import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.RequestRateLimit;
import org.bramleylatch.core.Rotation;
import org.bramleylatch.core.VmLoad;

/**
 * Applies what {@link Rotation} and {@link RequestRateLimit} decide: readiness, and refusals before
 * a body is read.
 */
final class LoadShedding implements Consumer<VmLoad> {
    /** Two readiness checks, after which the platform sends new connections to other VMs. */
    private static final long MOVE_MILLIS = 2_000;

    private static final long RECONNECT_MILLIS = 50;

    /** Spreads the return of callers that are refused together, in steps that don't divide it. */
    private static final long SPREAD_MILLIS = 500;

    private static final long SPREAD_STEP_MILLIS = 37;
    private static final long MAX_COUNTED_MILLIS = 300;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** At a higher rate, the limit has no effect any more. */
    private static final double UNLIMITED_PER_SECOND = 500;

    private final InstantSource clock;
    private final String vm;
    private final LongSupplier vmsOfZone;
    private final Consumer<Event> events;
    private Rotation rotation = Rotation.initial();
    private Optional<RequestRateLimit> limit = Optional.empty();
    private long leftMillis;
    private long measuredMillis;
    private int takenOn;
    private int refused;
    private long refusedInAll;
    private double takenOnPerSecond;

    /**
     * Creates the shedding of a VM without load.
     *
     * @param vmsOfZone supplies the number of known VMs of the zone
     * @param events receives an event when the VM leaves the rotation and when it returns
     */
    LoadShedding(InstantSource clock, String vm, LongSupplier vmsOfZone, Consumer<Event> events) {
        this.clock = clock;
        this.vm = vm;
        this.vmsOfZone = vmsOfZone;
        this.events = events;
        this.measuredMillis = clock.millis();
    }

    @Override
    public void accept(VmLoad load) {
        long nowMillis = clock.millis();
        long elapsedMillis = Math.min(nowMillis - measuredMillis, MAX_COUNTED_MILLIS);
        measuredMillis = nowMillis;
        measureTakenOn(elapsedMillis);
        limit =
                limit.map(now -> now.adjust(elapsedMillis, load.isBehind(), nowMillis))
                        .filter(now -> now.requestsPerSecond() < UNLIMITED_PER_SECOND);
        boolean wasIn = rotation.isIn();
        rotation =
                rotation.next(
                        load, takenOnPerSecond, refused > 0, vmsOfZone.getAsLong(), nowMillis);
        takenOn = 0;
        refused = 0;
        if (rotation.isIn() && rotation.isChanging()) {
            limit =
                    limit.or(
                            () -> Optional.of(RequestRateLimit.below(takenOnPerSecond, nowMillis)));
        }
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
     * Takes on a request that arrives now, or counts it as refused. Returns empty if it is to be
     * served; otherwise its body is not to be read, and the result is after how many milliseconds
     * its caller should send it again over a new connection, which reaches another VM then.
     */
    Optional<Long> takeOn() {
        long nowMillis = clock.millis();
        if (limit.filter(now -> !now.allowsOne(nowMillis)).isPresent()) {
            refused++;
            refusedInAll++;
            return Optional.of(retryMillis(nowMillis));
        }
        takenOn++;
        limit = limit.map(now -> now.takeOne(nowMillis));
        return Optional.empty();
    }

    private long retryMillis(long nowMillis) {
        long sinceLeftMillis = rotation.isIn() ? 0 : nowMillis - leftMillis;
        long untilMovedMillis = Math.max(0, MOVE_MILLIS - sinceLeftMillis);
        return RECONNECT_MILLIS
                + untilMovedMillis
                + refusedInAll * SPREAD_STEP_MILLIS % SPREAD_MILLIS;
    }

    private void measureTakenOn(long elapsedMillis) {
        double weight = 1 - Math.exp(-elapsedMillis / MILLIS_PER_SECOND);
        double newest = takenOn * MILLIS_PER_SECOND / Math.max(1, elapsedMillis);
        takenOnPerSecond += weight * (newest - takenOnPerSecond);
    }

    private void note(EventKind kind, VmLoad load) {
        events.accept(
                Event.of(kind, vm, load + " requestsPerSecond=" + Math.round(takenOnPerSecond)));
    }
}
