package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/**
 * Is the part of a route's requests that one endpoint version gets.
 *
 * @param permille the part, in thousandths
 */
public record VersionShare(Version version, int permille) {
    /** The whole, in thousandths. */
    public static final int WHOLE_PERMILLE = 1_000;

    /** Checks the version and that the share lies between nothing and the whole. */
    public VersionShare {
        requireNonNull(version, "version");
        if (permille < 0 || permille > WHOLE_PERMILLE) {
            throw new IllegalArgumentException("share out of range: " + permille);
        }
    }
}
