package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/** Identifies one run of a process; each restart gets a new value. */
public record Incarnation(String value) implements Comparable<Incarnation> {

    /** Throws {@link NullPointerException} if the value is null. */
    public Incarnation {
        requireNonNull(value, "incarnation id");
    }

    /**
     * Returns the incarnation with the given text.
     *
     * @param value not null; PROCESS@VM-RUN for a process whose runs are to be recognized by {@link
     *     #isOtherRunOf}
     */
    public static Incarnation of(String value) {
        return new Incarnation(value);
    }

    /**
     * Returns true if the other is a different run of the same process on the same VM. Only values
     * of the form PROCESS@VM-RUN match, where RUN differs in each run.
     */
    public boolean isOtherRunOf(Incarnation other) {
        return value.indexOf('@') > 0 && !equals(other) && stableName().equals(other.stableName());
    }

    /** Returns the name of the VM in a value of the form PROCESS@VM-RUN; else the whole value. */
    String vm() {
        return value.indexOf('@') < 0
                ? value
                : stableName().substring(stableName().indexOf('@') + 1);
    }

    /** Returns the part of the value before the last hyphen, which all runs share; may be empty. */
    String stableName() {
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
