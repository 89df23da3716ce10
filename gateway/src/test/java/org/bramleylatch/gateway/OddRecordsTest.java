package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Feeds a gateway random records that no reader accepts, in every stream that it follows. */
class OddRecordsTest {
    private static final int RECORDS_PER_ROUND = 12;
    private static final int ROUNDS = 4;
    private static final int TIMESTAMP_BYTES = 8;
    private static final int MAX_KEY_LENGTH = 255;
    private static final int MAX_BINARY_LENGTH = 300;
    private static final long AWAIT_TIMEOUT_SECONDS = 20;

    private static final String ENDPOINT =
            "{\"service\":\"app\",\"address\":\"127.0.0.1:1\",\"zone\":\"langnau\","
                    + "\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"seq\":1,\"born\":5}";
    private static final String LATER_CONFIGURATION =
            "{\"version\":9000000000000000000,\"routes\":[{\"name\":\"later\","
                    + "\"host\":\"ropes.example\",\"pathPrefix\":\"/later/\",\"kind\":\"unsafe\","
                    + "\"service\":\"late\",\"maxAttempts\":2,\"timeoutMs\":15000}],"
                    + "\"services\":[{\"name\":\"late\",\"engine\":{\"kvCapacity\":100,"
                    + "\"stride\":4}}],\"limits\":{\"maxBodyBytes\":1000},"
                    + "\"tenants\":[{\"name\":\"ropes\",\"apiKeys\":[\"secret\"],"
                    + "\"prepaid\":100000}]}";
    private static final String ORDER = "{\"service\":\"app\",\"target\":\"v2\",\"durationS\":60}";
    private static final String REPORT =
            "{\"type\":\"LimitReport\",\"router\":\"router@vm-9-1\",\"demands\":[],\"limits\":"
                    + "[{\"endpoint\":\"sound\",\"requestsPerSecond\":0.1,\"observedMillis\":7}]}";
    private static final String LEDGER_RECORD =
            "{\"v\":1,\"w\":\"keeper@vm-9-1\",\"s\":1,\"r\":{\"type\":\"UsageReported\","
                    + "\"budget\":\"ropes\",\"holder\":\"keeper@vm-9-1\",\"usages\":[]}}";

    /** Lists what no field of the records above accepts, whatever its type. */
    private static final List<String> ODD_VALUES =
            List.of(
                    "[[7]]",
                    "1e400",
                    "1e999999999",
                    "1" + "0".repeat(900),
                    "1" + "0".repeat(5_000),
                    "[".repeat(900) + "]".repeat(900),
                    "[".repeat(100_000) + "]".repeat(100_000),
                    "{\"a\":".repeat(2_000));

    private final GatewayHarness harness = new GatewayHarness();

    @AfterEach
    void stop() {
        harness.stop();
    }

    /** Guards against a record of another writer that ends or blocks the reader of its stream. */
    @ParameterizedTest
    @Timeout(60)
    @ValueSource(longs = {1, 2, 3})
    void requestsAreServedAndChangesFollowedBesideRecordsThatCannotBeRead(long seed)
            throws Exception {
        Random random = new Random(seed);
        harness.start();
        harness.addEndpoint("app", "sound", (request, count) -> answer(request, "done"));
        feed(random);
        harness.configureAndAwaitReady();
        for (int round = 0; round < ROUNDS; round++) {
            feed(random);
            for (int call = 0; call < 3; call++) {
                assertThat(harness.call("/orders/1").body()).isEqualTo("done");
            }
        }
        harness.addEndpoint("late", "late", (request, count) -> answer(request, "late"));
        harness.store().putConfiguration(LATER_CONFIGURATION);
        feed(random);
        assertThat(awaitAnswerOfLaterRoute()).isEqualTo("late");
        assertThat(harness.call("/orders/1").status()).isEqualTo(404);
    }

    private String awaitAnswerOfLaterRoute() throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_TIMEOUT_SECONDS);
        GatewayHarness.Answer answer = harness.call("/later/1");
        while (answer.status() != 200 && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(20);
            answer = harness.call("/later/1");
        }
        return answer.body();
    }

    private void feed(Random random) {
        for (int index = 0; index < RECORDS_PER_ROUND; index++) {
            put("keyed.servers", anyKey(random), odd(random, ENDPOINT));
            put("keyed.servers", bytes("i-" + index), odd(random, ENDPOINT));
            put("keyed.op", bytes("config"), odd(random, LATER_CONFIGURATION));
            put("keyed.op", bytes("rollout/app"), odd(random, ORDER));
            put("keyed.op", anyKey(random), odd(random, ORDER));
            put(
                    "keyed.bramleylatch.peers",
                    bytes("vm-" + index),
                    odd(random, "10.0.0.1:1 750 langnau"));
            put("keyed.bramleylatch.reports", anyKey(random), odd(random, REPORT));
            putLedgerRecord(random);
        }
    }

    private void put(String topic, byte[] key, byte[] value) {
        harness.store().put(topic, key, value);
    }

    private void putLedgerRecord(Random random) {
        byte[] header = new byte[random.nextInt(4) == 0 ? 3 : TIMESTAMP_BYTES];
        random.nextBytes(header);
        harness.store()
                .append(
                        "bramleylatch.accounts-0",
                        Buffer.buffer(header).appendBytes(odd(random, LEDGER_RECORD)));
    }

    /** Makes a record that no reader accepts from one that a reader accepts. */
    private static byte[] odd(Random random, String text) {
        return switch (random.nextInt(5)) {
            case 0 -> binary(random, 1 + random.nextInt(MAX_BINARY_LENGTH));
            case 1 -> bytes(text.substring(0, 1 + random.nextInt(text.length() - 1)));
            case 2 -> bytes(anyOddValue(random));
            case 3 -> bytes(withOddField(random, text));
            default -> bytes(withRepeatedOddField(random, text));
        };
    }

    /** Replaces the value of one of the fields on the outermost level. */
    private static String withOddField(Random random, String text) {
        List<String> fields = outermostFields(text);
        if (fields.isEmpty()) {
            return anyOddValue(random);
        }
        String field = fields.get(random.nextInt(fields.size()));
        return text.replaceFirst(field, field + anyOddValue(random) + ",\"rest\":");
    }

    private static String withRepeatedOddField(Random random, String text) {
        List<String> fields = outermostFields(text);
        if (fields.isEmpty()) {
            return anyOddValue(random);
        }
        String field = fields.get(random.nextInt(fields.size()));
        return text.substring(0, text.length() - 1) + "," + field + anyOddValue(random) + "}";
    }

    private static List<String> outermostFields(String text) {
        return List.of(
                        "\"service\":",
                        "\"address\":",
                        "\"slots\":",
                        "\"born\":",
                        "\"version\":",
                        "\"routes\":",
                        "\"tenants\":",
                        "\"limits\":",
                        "\"target\":",
                        "\"durationS\":",
                        "\"router\":",
                        "\"w\":",
                        "\"r\":")
                .stream()
                .filter(field -> text.indexOf(field) > 0 && depth(text, field) == 1)
                .toList();
    }

    private static long depth(String text, String field) {
        String before = text.substring(0, text.indexOf(field));
        return before.chars().filter(c -> c == '{' || c == '[').count()
                - before.chars().filter(c -> c == '}' || c == ']').count();
    }

    private static String anyOddValue(Random random) {
        return ODD_VALUES.get(random.nextInt(ODD_VALUES.size()));
    }

    private static byte[] anyKey(Random random) {
        return binary(random, 2 + random.nextInt(MAX_KEY_LENGTH - 1));
    }

    /** Makes bytes that are neither UTF-8 nor a name of the tests. */
    private static byte[] binary(Random random, int length) {
        byte[] bytes = new byte[length];
        random.nextBytes(bytes);
        bytes[0] = (byte) 0xff;
        return bytes;
    }

    private static void answer(HttpServerRequest request, String body) {
        request.response()
                .putHeader("request-id", request.getHeader("request-id"))
                .putHeader("server-seal", "seal-1")
                .end(body);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
