package org.bramleylatch.edge;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Hashes API keys, so that configurations and logs contain no key in plain text. */
public final class Digests {

    private Digests() {}

    /** Returns the SHA-256 digest of the UTF-8 text, in lower-case hexadecimal digits. */
    public static String sha256(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }
}
