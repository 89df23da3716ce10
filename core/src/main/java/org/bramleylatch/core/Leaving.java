package org.bramleylatch.core;

/**
 * Tells who says that an endpoint leaves; either word is enough.
 *
 * @param listed the platform's list says so, or no longer names the endpoint
 * @param own the endpoint itself says so
 */
public record Leaving(boolean listed, boolean own) {
    private static final Leaving NO = new Leaving(false, false);

    /** Returns the word of nobody. */
    public static Leaving no() {
        return NO;
    }

    /** Returns true if anyone says so. */
    public boolean isSaid() {
        return listed || own;
    }

    /** Returns this with the platform's latest word. */
    public Leaving listed(boolean isLeaving) {
        return new Leaving(isLeaving, own);
    }

    /** Returns this with the endpoint's latest word. */
    public Leaving own(boolean isLeaving) {
        return new Leaving(listed, isLeaving);
    }
}
