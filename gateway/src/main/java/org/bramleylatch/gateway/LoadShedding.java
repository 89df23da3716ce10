package org.bramleylatch.gateway;

import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.Intake;
import org.bramleylatch.core.Rotation;
import org.bramleylatch.core.VmLoad;

/**
 * Applies what {@link Rotation} and {@link Intake} decide: readiness, and refusals before a body is
 * read.
 */
final class LoadShedding implements Consumer<VmLoad> {
    /** Two readiness checks, after which the platform sends new connections to other VMs. */
    private static final long MOVE_MILLIS = 2_000;

    private static final long RECONNECT_MILLIS = 50;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final InstantSource clock;
    private final String vm;
    private final LongSupplier vmsOfZone;
    private final Consumer<Event> events;
    private Rotation rotation = Rotation.initial();
    private Optional<Intake> intake = Optional.empty();
    private long leftMillis;
    private long measuredMillis;
    private int takenOn;
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
        long elapsedMillis = nowMillis - measuredMillis;
        measuredMillis = nowMillis;
        measureTakenOn(elapsedMillis);
        boolean wasIn = rotation.isIn();
        rotation = rotation.next(load, vmsOfZone.getAsLong(), nowMillis);
        if (rotation.isIn() == wasIn) {
            intake = intake.map(limit -> limit.after(elapsedMillis, load.isExcessive()));
        } else if (wasIn) {
            leftMillis = nowMillis;
            intake = Optional.of(Intake.below(takenOnPerSecond));
            note(EventKind.ROTATION_LEFT, load);
        } else {
            intake = Optional.empty();
            note(EventKind.ROTATION_JOINED, load);
        }
    }

    /** Returns true if the VM asks for new connections. */
    boolean isInRotation() {
        return rotation.isIn();
    }

    /**
     * Takes on a request that arrives now. Returns empty if it is to be served, or after how many
     * milliseconds its caller should send it again if it is to be refused before its body is read:
     * a new connection reaches another VM then.
     */
    Optional<Long> takeOn() {
        if (intake.filter(limit -> !limit.allowsOne()).isPresent()) {
            return Optional.of(
                    Math.max(RECONNECT_MILLIS, leftMillis + MOVE_MILLIS - clock.millis()));
        }
        takenOn++;
        intake = intake.map(Intake::takeOne);
        return Optional.empty();
    }

    private void measureTakenOn(long elapsedMillis) {
        double weight = 1 - Math.exp(-elapsedMillis / MILLIS_PER_SECOND);
        double newest = takenOn * MILLIS_PER_SECOND / Math.max(1, elapsedMillis);
        takenOnPerSecond += weight * (newest - takenOnPerSecond);
        takenOn = 0;
    }

    private void note(EventKind kind, VmLoad load) {
        events.accept(
                Event.of(kind, vm, load + " requestsPerSecond=" + Math.round(takenOnPerSecond)));
    }
}
