package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/**
 * Holds the share of a route's requests that goes to one endpoint version.
 *
 * @param permille the share in thousandths, from 0 to {@link #WHOLE_PERMILLE}
 */
public record VersionShare(Version version, int permille) {
    /** The share of all requests, in thousandths. */
    public static final int WHOLE_PERMILLE = 1_000;

    /**
     * Checks the parts.
     *
     * @throws IllegalArgumentException if the share is out of range
     */
    public VersionShare {
        requireNonNull(version, "version");
        if (permille < 0 || permille > WHOLE_PERMILLE) {
            throw new IllegalArgumentException(
                    "version share must be from 0 to 1000 permille, but is " + permille);
        }
    }
}
