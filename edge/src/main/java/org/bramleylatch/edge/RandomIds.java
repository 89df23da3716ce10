package org.bramleylatch.edge;

import java.security.SecureRandom;
import java.util.HexFormat;
import org.bramleylatch.core.Incarnation;

/** Generates ids that cannot be guessed, from a cryptographic random source. */
public final class RandomIds {
    private static final int BYTES = 8;
    private static final SecureRandom RANDOM = new SecureRandom();

    private RandomIds() {}

    /** Generates the incarnation of a newly started process on the given VM. */
    public static Incarnation newIncarnation(String process, String vm) {
        return Incarnation.of(process + "@" + vm + "-" + hexId());
    }

    /** Generates 64 random bits as 16 hexadecimal digits. */
    public static String hexId() {
        byte[] bytes = new byte[BYTES];
        RANDOM.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /** Generates 64 random bits. */
    public static long bits() {
        return RANDOM.nextLong();
    }
}
