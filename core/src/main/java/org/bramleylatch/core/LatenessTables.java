package org.bramleylatch.core;

/** Holds what a router knows about whether its own VM kept up. */
final class LatenessTables {
    private long lastExcessiveMillis;

    /** Returns when the VM's load was last seen to be excessive; 0 if never. */
    long lastExcessiveMillis() {
        return lastExcessiveMillis;
    }

    void setLastExcessiveMillis(long millis) {
        lastExcessiveMillis = millis;
    }
}
