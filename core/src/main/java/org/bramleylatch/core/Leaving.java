package org.bramleylatch.core;

/**
 * Tells which signals say that an endpoint leaves; either is enough.
 *
 * @param listed the platform's list says so, or no longer names the endpoint
 * @param own the endpoint's own load report says so
 */
public record Leaving(boolean listed, boolean own) {
    private static final Leaving NO = new Leaving(false, false);

    /** Returns that no signal says so. */
    public static Leaving no() {
        return NO;
    }

    /** Returns true if any signal says so. */
    public boolean isSaid() {
        return listed || own;
    }

    /** Returns this with what the platform's list says. */
    public Leaving listed(boolean isLeaving) {
        return new Leaving(isLeaving, own);
    }

    /** Returns this with what the endpoint's report says. */
    public Leaving own(boolean isLeaving) {
        return new Leaving(listed, isLeaving);
    }
}
