package org.bramleylatch.edge;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Hashes API keys and requests, so that configurations and logs contain none in plain text. */
public final class Digests {
    private static final int PIECE_BYTES = 8_192;

    private Digests() {}

    /** Returns the SHA-256 digest of the UTF-8 text, in lower-case hexadecimal digits. */
    public static String sha256(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }

    /**
     * Returns a hash of 128 bits of the texts and the body, in lower-case hexadecimal digits. The
     * body is read in pieces, as a copy of it is not within the memory for bodies.
     */
    public static String fingerprint(List<String> texts, Buffer body) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        texts.forEach(text -> hasher.putInt(text.length()).putUnencodedChars(text));
        for (int start = 0; start < body.length(); start += PIECE_BYTES) {
            int end = Math.min(body.length(), start + PIECE_BYTES);
            hasher.putBytes(body.getBytes(start, end));
        }
        return hasher.hash().toString();
    }
}
