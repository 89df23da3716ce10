package org.bramleylatch.edge;

import java.security.SecureRandom;
import java.util.HexFormat;
import org.bramleylatch.core.Incarnation;

/** Makes ids that no one can guess. */
public final class Incarnations {
    private static final int BYTES = 8;
    private static final SecureRandom RANDOM = new SecureRandom();

    private Incarnations() {}

    /** Returns an incarnation of a process on the given VM. */
    public static Incarnation fresh(String process, String vm) {
        return Incarnation.of(process + "@" + vm + "-" + token());
    }

    /** Returns 64 random bits in hexadecimal digits. */
    public static String token() {
        byte[] bytes = new byte[BYTES];
        RANDOM.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /** Returns 64 random bits. */
    public static long randomBits() {
        return RANDOM.nextLong();
    }
}
