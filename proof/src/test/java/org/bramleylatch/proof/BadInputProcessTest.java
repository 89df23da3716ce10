package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.bramleylatch.bench.Await;
import org.bramleylatch.bench.Deployment;
import org.bramleylatch.bench.ProcessClient;
import org.bramleylatch.bench.RequestBodies;
import org.bramleylatch.core.BudgetStatement;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.wire.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * Sends invalid requests and settings to real processes. Guards against an error without its result
 * code or reason, and against a refused request that is billed.
 */
class BadInputProcessTest {
    private static final long PAID_TOKENS = 1_000;
    private static final long WAIT_TIMEOUT_MILLIS = 30_000;
    private static final int FIVE_MIB = 5 * 1024 * 1024;
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String BUDGET_PATH = "/admin/v1/budgets/" + Deployment.BUDGET;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path folder;

    private Deployment deployment;

    @AfterEach
    void stop() {
        deployment.close();
    }

    @Test
    void everyInvalidRequestIsRefusedWithItsCodeAndNothingIsBilled() {
        deployment =
                Deployment.in(folder)
                        .startEngine("engine", "langnau", "v1")
                        .startService("ordnerei", "langnau")
                        .startOneEntryVm(PAID_TOKENS);
        ProcessClient member = deployment.client("router").withKey(Deployment.MEMBER_KEY);
        assertCode(member.post(CHAT_PATH, "{oops"), ResultCode.MALFORMED_JSON);
        assertCode(member.post(CHAT_PATH, "{}"), ResultCode.FIELD_INVALID);
        String otherModel = RequestBodies.chat(1, 5, true).replace("seilhelfer-1", "other");
        assertCode(member.post(CHAT_PATH, otherModel), ResultCode.UNKNOWN_MODEL);
        assertCode(member.get("/nowhere"), ResultCode.UNKNOWN_ROUTE);
        assertCode(member.post(CHAT_PATH, "x".repeat(FIVE_MIB)), ResultCode.BODY_TOO_LARGE);
        assertCode(member.post("/bookings", "{}"), ResultCode.IDEMPOTENCY_KEY_MISSING);
        assertCode(
                member.withHeader("idempotency-key", "17").post("/bookings", "{}"),
                ResultCode.IDEMPOTENCY_KEY_MALFORMED);
        assertCode(
                member.post(CHAT_PATH, RequestBodies.chat(1, 5_000, true)),
                ResultCode.BUDGET_EXHAUSTED);
        ProcessClient admin = deployment.client("admin").withKey(Deployment.ADMIN_KEY);
        assertCode(admin.get("/admin/v1/budgets/nobodys"), ResultCode.UNKNOWN_BUDGET);
        assertCode(admin.put("/admin/v1/sections/routes", "[{}]"), ResultCode.REVISION_CONFLICT);
        BudgetStatement statement = Json.read(admin.get(BUDGET_PATH).body(), BudgetStatement.class);
        assertThat(statement.settledTokens()).isZero();
        assertThat(statement.balances()).isTrue();
    }

    @Test
    void aProcessThatCannotStartExitsWithStatusOneAndLogsTheReason() throws IOException {
        deployment = Deployment.in(folder).startPlatform().startAdmin("langnau");
        deployment.awaitReady("admin");
        deployment.startKeeper("wrong", "langnau", ",\"horizonHours\":\"two\"");
        assertFailsToStart("wrong", "SETTINGS_INVALID", "wrong.json", "/horizonHours");
        deployment.startKeeperAtAddressOf("taken", "langnau", "admin");
        assertFailsToStart("taken", "PORT_IN_USE");
    }

    private void assertFailsToStart(String name, String... reasons) throws IOException {
        Await.until(
                name + " exits", WAIT_TIMEOUT_MILLIS, () -> !deployment.process(name).isAlive());
        assertThat(deployment.process(name).exitValue()).isEqualTo(1);
        assertThat(Files.readString(folder.resolve(name + ".log"))).contains(reasons);
    }

    private static void assertCode(ProcessClient.Reply reply, ResultCode code) {
        assertThat(reply.status()).as(reply.body()).isEqualTo(code.httpStatus());
        assertThat(reply.body()).contains("\"code\":" + code.number(), "\"run\":\"not_run\"");
    }
}
