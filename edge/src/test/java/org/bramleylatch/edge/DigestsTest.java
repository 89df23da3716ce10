package org.bramleylatch.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against sound requests that count as repeats of one that crashes endpoints. */
class DigestsTest {
    private static final int BODY_BYTES = 20_000;

    @Test
    void equalTextsAndBodiesHaveTheSameFingerprint() {
        assertThat(fingerprint("a", "b", BODY_BYTES)).isEqualTo(fingerprint("a", "b", BODY_BYTES));
    }

    @Test
    void eachTextAndEachByteOfTheBodyCounts() {
        String fingerprint = fingerprint("a", "b", BODY_BYTES);
        assertThat(fingerprint("a", "c", BODY_BYTES)).isNotEqualTo(fingerprint);
        assertThat(fingerprint("ab", "", BODY_BYTES)).isNotEqualTo(fingerprint);
        assertThat(fingerprint("a", "b", BODY_BYTES - 1)).isNotEqualTo(fingerprint);
        assertThat(fingerprint("a", "b", 0)).isNotEqualTo(fingerprint);
    }

    private static String fingerprint(String first, String second, int bodyBytes) {
        return Digests.fingerprint(List.of(first, second), Buffer.buffer(new byte[bodyBytes]));
    }
}
