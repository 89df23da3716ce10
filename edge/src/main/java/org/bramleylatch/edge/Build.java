package org.bramleylatch.edge;

/** Tells what was built. */
public final class Build {
    private static final String VERSION = "0.1.0";

    private Build() {}

    /** Returns the version of this build. */
    public static String version() {
        return VERSION;
    }
}
