package org.bramleylatch.core;

/** Holds what a router knows about whether its own VM kept up. */
final class LatenessTables {
    private final Table<Incarnation, Long> awaitedKeepers = Table.empty();
    private long lastExcessiveMillis;

    /** Returns when the VM's load was last seen to be excessive; 0 if never. */
    long lastExcessiveMillis() {
        return lastExcessiveMillis;
    }

    /**
     * Returns the keepers that left a reservation without an answer while the VM was late and have
     * not answered since, with the time of the first such time-out.
     */
    Table<Incarnation, Long> awaitedKeepers() {
        return awaitedKeepers;
    }

    void setLastExcessiveMillis(long millis) {
        lastExcessiveMillis = millis;
    }
}
