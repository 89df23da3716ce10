package org.bramleylatch.edge;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Digests keys, so that none stands in a configuration or log. */
public final class Digests {

    private Digests() {}

    /** Returns the SHA-256 of the text, in lower-case hexadecimal digits. */
    public static String sha256(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }
}
