package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import org.bramleylatch.bench.Deployment;
import org.bramleylatch.bench.ProcessClient;
import org.bramleylatch.wire.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against an OpenAPI description of the administration API that lists calls which are not
 * served or which need no key.
 */
class OpenApiProcessTest {
    private static final int NOT_SERVED = 404;
    private static final int WRONG_METHOD = 405;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path folder;

    private Deployment deployment;

    @AfterEach
    void stop() {
        deployment.close();
    }

    @Test
    void everyDescribedCallIsServedAndRequiresAKey() {
        deployment = Deployment.in(folder).startPlatform().startAdmin("langnau");
        deployment.awaitReady("admin");
        ProcessClient admin = deployment.client("admin");
        JsonNode paths = Json.readTree(admin.get("/admin/v1/openapi.json").body()).path("paths");
        assertThat(paths.size()).isPositive();
        paths.fields()
                .forEachRemaining(
                        path ->
                                path.getValue()
                                        .fieldNames()
                                        .forEachRemaining(
                                                method ->
                                                        assertServedAndKeyRequired(
                                                                admin, method, path.getKey())));
    }

    private static void assertServedAndKeyRequired(
            ProcessClient admin, String method, String path) {
        String filledPath = path.replaceAll("\\{[a-z]+}", "x");
        ProcessClient.Reply reply =
                switch (method) {
                    case "get" -> admin.get(filledPath);
                    case "put" -> admin.put(filledPath, "[]");
                    default -> admin.post(filledPath, "{}");
                };
        assertThat(reply.status())
                .as(method + " " + path + " without a key")
                .isNotIn(NOT_SERVED, WRONG_METHOD)
                .isEqualTo(401);
    }
}
