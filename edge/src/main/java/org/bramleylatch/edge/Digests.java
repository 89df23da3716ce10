package org.bramleylatch.edge;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Hashes API keys and requests, so that configurations and logs contain none in plain text. */
public final class Digests {

    private Digests() {}

    /** Returns the SHA-256 digest of the UTF-8 text, in lower-case hexadecimal digits. */
    public static String sha256(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }

    /** Returns a hash of 128 bits of the texts and the bytes, in lower-case hexadecimal digits. */
    public static String fingerprint(List<String> texts, byte[] bytes) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        texts.forEach(text -> hasher.putInt(text.length()).putUnencodedChars(text));
        return hasher.putBytes(bytes).hash().toString();
    }
}
