package org.bramleylatch.core;

/**
 * Tells how old the configuration may be that a decision rests on.
 *
 * @param revision the revision of the configuration
 * @param millis how long ago no newer one was in force
 */
record ConfigurationAge(long revision, long millis) {

    /** Returns the age of a router's configuration. */
    static ConfigurationAge of(RouterWorld world, long nowMillis) {
        return new ConfigurationAge(
                world.configuration().revision(), nowMillis - world.configurationAsOfMillis());
    }

    @Override
    public String toString() {
        return "configuration=" + revision + " configurationAgeMillis=" + millis;
    }
}
