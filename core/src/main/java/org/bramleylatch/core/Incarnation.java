package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/** Identifies one run of one process; a restart gets a new value. */
public record Incarnation(String value) implements Comparable<Incarnation> {

    /** Checks that the incarnation id is present. */
    public Incarnation {
        requireNonNull(value, "incarnation id");
    }

    /**
     * Returns the incarnation id with the given text.
     *
     * @param value the text, not null
     */
    public static Incarnation of(String value) {
        return new Incarnation(value);
    }

    /**
     * Returns true if the other is another run of the same process on the same VM. The text of such
     * a run is PROCESS@VM, a hyphen, and what is new in each run.
     */
    public boolean succeeds(Incarnation other) {
        return value.indexOf('@') > 0 && !equals(other) && place().equals(other.place());
    }

    /** Returns what all runs of the process on its VM have in common; empty if there is nothing. */
    String place() {
        return value.substring(0, Math.max(0, value.lastIndexOf('-')));
    }

    @Override
    public int compareTo(Incarnation other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
