package org.bramleylatch.edge;

/** Holds the version of this build. */
public final class Build {
    private static final String VERSION = "0.1.0";

    private Build() {}

    /** Returns the version of all modules, as {@code --version} prints it. */
    public static String version() {
        return VERSION;
    }
}
