package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import org.bramleylatch.bench.Caller;
import org.bramleylatch.bench.Deployment;
import org.bramleylatch.wire.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Holds the description of the administration API to the API. */
class OpenApiProcessTest {
    private static final int NOT_SERVED = 404;
    private static final int WRONG_METHOD = 405;

    @TempDir Path folder;

    private Deployment deployment;

    @AfterEach
    void stop() {
        deployment.close();
    }

    @Test
    void everyDescribedCallIsServedAndAsksForAKey() {
        deployment = Deployment.in(folder).withPlatform().withAdmin("langnau");
        deployment.awaitReady("admin");
        Caller admin = deployment.caller("admin");
        JsonNode paths = Json.readTree(admin.get("/admin/v1/openapi.json").body()).path("paths");
        assertThat(paths.size()).isPositive();
        paths.fields()
                .forEachRemaining(
                        path ->
                                path.getValue()
                                        .fieldNames()
                                        .forEachRemaining(
                                                method ->
                                                        assertServed(
                                                                admin, method, path.getKey())));
    }

    private static void assertServed(Caller admin, String method, String path) {
        String filled = path.replaceAll("\\{[a-z]+}", "x");
        Caller.Reply reply =
                switch (method) {
                    case "get" -> admin.get(filled);
                    case "put" -> admin.put(filled, "[]");
                    default -> admin.post(filled, "{}");
                };
        assertThat(reply.status())
                .as(method + " " + path + " without a key")
                .isNotIn(NOT_SERVED, WRONG_METHOD)
                .isEqualTo(401);
    }
}
