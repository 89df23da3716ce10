package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.bramleylatch.bench.Await;
import org.bramleylatch.bench.Deployment;
import org.bramleylatch.bench.ProcessClient;
import org.bramleylatch.bench.RequestBodies;
import org.bramleylatch.core.BudgetStatement;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.edge.RandomIds;
import org.bramleylatch.wire.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * Kills, suspends and stops real processes, or makes the platform unavailable, and checks that no
 * usage is lost or billed twice and that no request is repeated that must run once. Checks outcomes
 * only, never how long they took.
 */
class ProcessTest {
    private static final long PAID_TOKENS = 60_000;
    private static final String RETRY_GRACE_SETTING = ",\"retryGraceMillis\":5000";
    private static final long WAIT_TIMEOUT_MILLIS = 30_000;
    private static final String BUDGET_PATH = "/admin/v1/budgets/" + Deployment.BUDGET;
    private static final String CHAT_PATH = "/v1/chat/completions";

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path folder;

    private Deployment deployment;

    @BeforeEach
    void startOneZoneWithTwoEntryVms() {
        deployment =
                Deployment.in(folder)
                        .startEngine("engine-1", "langnau", "v1")
                        .startEngine("engine-2", "langnau", "v1")
                        .startService("ordnerei-1", "langnau")
                        .startPlatform()
                        .startAdmin("langnau")
                        .startKeeper("keeper-1", "langnau", RETRY_GRACE_SETTING)
                        .startKeeper("keeper-2", "langnau", RETRY_GRACE_SETTING)
                        .startRouter("router-1", "langnau", "keeper-1", "keeper-2")
                        .startRouter("router-2", "langnau", "keeper-1", "keeper-2");
        deployment.awaitReady("admin", "keeper-1", "keeper-2");
        deployment.publishAndTopUp(PAID_TOKENS);
        deployment.awaitReady("router-1", "router-2");
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    @Test
    void aStreamWhoseRouterIsKilledRunsAgainThroughAnotherRouterAndIsBilledOnce() {
        String key = newKey();
        CompletableFuture<ProcessClient.Reply> interruptedStream =
                memberClient("router-1", key)
                        .postAsync(CHAT_PATH, RequestBodies.chat(5, 300, true));
        Await.until(
                "an engine holds tokens of the stream",
                WAIT_TIMEOUT_MILLIS,
                () -> heldTokensOfEngines() > 0);
        deployment.signal("router-1", "KILL");
        assertThat(interruptedStream)
                .failsWithin(Duration.ofSeconds(30))
                .withThrowableOfType(ExecutionException.class);
        ProcessClient.Reply secondReply =
                retryWhileInProgress("router-2", key, RequestBodies.chat(5, 300, true));
        long billedTokens = totalTokens(secondReply);
        assertThat(secondReply.body()).endsWith("data: [DONE]\n\n");
        Await.until(
                "usage is settled", WAIT_TIMEOUT_MILLIS, () -> budgetTokens("settledTokens") > 0);
        assertThat(budgetTokens("settledTokens")).isEqualTo(billedTokens);
    }

    @Test
    void aStreamWhoseRouterIsKilledIsBilledForWhatTheEndpointUsedIfNobodyRetries() {
        CompletableFuture<ProcessClient.Reply> interruptedStream =
                memberClient("router-1", newKey())
                        .postAsync(CHAT_PATH, RequestBodies.chat(5, 300, true));
        Await.until(
                "an engine holds tokens of the stream",
                WAIT_TIMEOUT_MILLIS,
                () -> heldTokensOfEngines() > 0);
        deployment.signal("router-1", "KILL");
        Await.until(
                "usage is settled", WAIT_TIMEOUT_MILLIS, () -> budgetTokens("settledTokens") > 0);
        // The most that the request can use is 372: 72 tokens of prompt and 300 of answer.
        assertThat(budgetTokens("settledTokens")).isLessThan(375);
        assertThat(interruptedStream).isCompletedExceptionally();
    }

    @Test
    void chatsSucceedWhileAKeeperIsSuspendedAndTheBudgetBalances() {
        assertThat(postChat("router-1").status()).isEqualTo(200);
        deployment.signal("keeper-1", "STOP");
        for (int number = 0; number < 3; number++) {
            assertThat(postChat("router-1").status()).isEqualTo(200);
            assertThat(postChat("router-2").status()).isEqualTo(200);
        }
        deployment.signal("keeper-1", "CONT");
        assertThat(postChat("router-2").status()).isEqualTo(200);
        assertBudgetBalances();
    }

    @Test
    void aKilledKeeperLosesNoUsageThatARouterStillHolds() {
        CompletableFuture<ProcessClient.Reply> stream =
                memberClient("router-1", newKey())
                        .postAsync(CHAT_PATH, RequestBodies.chat(5, 300, true));
        Await.until(
                "an engine holds tokens of the stream",
                WAIT_TIMEOUT_MILLIS,
                () -> heldTokensOfEngines() > 0);
        deployment.signal("keeper-1", "KILL");
        deployment.startKeeper("keeper-1", "langnau");
        long billedTokens = totalTokens(stream.join());
        Await.until(
                "usage is settled", WAIT_TIMEOUT_MILLIS, () -> budgetTokens("settledTokens") > 0);
        assertThat(budgetTokens("settledTokens")).isEqualTo(billedTokens);
    }

    @Test
    void whileThePlatformIsUnavailableChatsSucceedAndBookingsAreRefusedAsNotRun() {
        assertThat(postChat("router-1").status()).isEqualTo(200);
        setPlatformFaults("{\"outage\":true}");
        Await.until(
                "bookings are refused during the outage",
                WAIT_TIMEOUT_MILLIS,
                () -> postBooking().status() == 503);
        assertThat(postBooking().body()).contains("\"run\":\"not_run\"");
        assertThat(postChat("router-1").status()).isEqualTo(200);
        assertThat(bookingCount()).isZero();
        setPlatformFaults("{\"outage\":false}");
        Await.until(
                "bookings succeed after the outage",
                WAIT_TIMEOUT_MILLIS,
                () -> postBooking().status() == 201);
        Await.until(
                "usage is settled",
                WAIT_TIMEOUT_MILLIS,
                () -> budgetTokens("openTokens") >= 0 && budgetTokens("settledTokens") > 0);
        assertBudgetBalances();
    }

    @Test
    void aKeeperThatStartsDuringAPlatformOutageLoadsItsPeersLedgerAndContinuesFromIt() {
        setPlatformFaults("{\"outage\":true}");
        deployment.startKeeperWithPeer("keeper-3", "langnau", "keeper-1");
        ProcessClient keeper = deployment.client("keeper-3");
        Await.until(
                "the peer's ledger is loaded",
                WAIT_TIMEOUT_MILLIS,
                () ->
                        keeper.isOk("/healthz")
                                && keeper.get("/ledger").body().contains(Deployment.BUDGET));
        assertThat(keeper.isOk("/readyz")).isFalse();
        setPlatformFaults("{\"outage\":false}");
        deployment.awaitReady("keeper-3");
        Await.until(
                "chats succeed after the outage",
                WAIT_TIMEOUT_MILLIS,
                () -> postChat("router-1").status() == 200);
        assertBudgetBalances();
    }

    @Test
    void aBookingWithUnknownOutcomeIsNeverSentAgain() {
        String key = newKey();
        deployment.client("ordnerei-1").put("/faults", "{\"hangAfterRun\":true}").expectStatus(200);
        ProcessClient.Reply firstReply =
                memberClient("router-1", key).post("/bookings", "{\"bales\":1}");
        deployment
                .client("ordnerei-1")
                .put("/faults", "{\"hangAfterRun\":false}")
                .expectStatus(200);
        ProcessClient.Reply secondReply =
                memberClient("router-2", key).post("/bookings", "{\"bales\":1}");
        assertThat(firstReply.body()).contains("\"run\":\"unknown\"");
        assertThat(secondReply.body()).contains("\"run\":\"unknown\"");
        assertThat(bookingCount()).isEqualTo(1);
    }

    @Test
    void anAppendWhoseAnswerIsLostIsAppliedOnce() {
        setPlatformFaults("{\"loseAnswers\":3}");
        ProcessClient.Reply reply = postChat("router-1");
        assertThat(reply.status()).isEqualTo(200);
        Await.until(
                "usage is settled", WAIT_TIMEOUT_MILLIS, () -> budgetTokens("settledTokens") > 0);
        assertThat(budgetTokens("settledTokens")).isEqualTo(totalTokens(reply));
        assertBudgetBalances();
    }

    @Test
    void aPlannedStopInterruptsNoStreamAndReturnsAllTokens() {
        CompletableFuture<ProcessClient.Reply> stream =
                memberClient("router-1", newKey())
                        .postAsync(CHAT_PATH, RequestBodies.chat(5, 300, true));
        Await.until(
                "an engine holds tokens of the stream",
                WAIT_TIMEOUT_MILLIS,
                () -> heldTokensOfEngines() > 0);
        deployment.stop("router-1");
        assertThat(stream.join().body()).endsWith("data: [DONE]\n\n");
        deployment.stop("router-2");
        deployment.stop("keeper-1");
        deployment.stop("keeper-2");
        Await.until(
                "grants are returned", WAIT_TIMEOUT_MILLIS, () -> budgetTokens("openTokens") == 0);
        assertThat(budgetTokens("settledTokens")).isEqualTo(totalTokens(stream.join()));
    }

    private void assertBudgetBalances() {
        ProcessClient admin = deployment.client("admin").withKey(Deployment.ADMIN_KEY);
        BudgetStatement statement = Json.read(admin.get(BUDGET_PATH).body(), BudgetStatement.class);
        assertThat(statement.balances()).as(statement.toString()).isTrue();
        assertThat(statement.paidTokens()).isEqualTo(PAID_TOKENS);
    }

    private ProcessClient.Reply postChat(String router) {
        return memberClient(router, newKey()).post(CHAT_PATH, RequestBodies.chat(5, 20, true));
    }

    private ProcessClient.Reply postBooking() {
        return memberClient("router-2", newKey()).post("/bookings", "{\"bales\":1}");
    }

    private ProcessClient.Reply retryWhileInProgress(String router, String key, String body) {
        Await.until(
                "the router is ready",
                WAIT_TIMEOUT_MILLIS,
                () -> deployment.client(router).isOk("/readyz"));
        ProcessClient.Reply reply = memberClient(router, key).post(CHAT_PATH, body);
        for (int retries = 0; retries < 50 && reply.status() == 409; retries++) {
            reply = memberClient(router, key).post(CHAT_PATH, body);
        }
        return reply;
    }

    private ProcessClient memberClient(String router, String key) {
        return deployment
                .client(router)
                .withKey(Deployment.MEMBER_KEY)
                .withHeader("idempotency-key", key);
    }

    private void setPlatformFaults(String faults) {
        deployment.client("platform").put("/faults", faults).expectStatus(200);
    }

    private long heldTokensOfEngines() {
        return engineHeldTokens("engine-1") + engineHeldTokens("engine-2");
    }

    private long engineHeldTokens(String engine) {
        return Json.readTree(deployment.client(engine).get("/load").body())
                .path("heldTokens")
                .asLong();
    }

    private long bookingCount() {
        return Json.readTree(deployment.client("ordnerei-1").get("/bookings-count").body())
                .path("count")
                .asLong();
    }

    private long budgetTokens(String property) {
        ProcessClient admin = deployment.client("admin").withKey(Deployment.ADMIN_KEY);
        return Json.readTree(admin.get(BUDGET_PATH).body()).path(property).asLong(-1);
    }

    private static long totalTokens(ProcessClient.Reply reply) {
        String[] events = reply.body().split("\n\n");
        String last = events[events.length - 2].substring("data: ".length());
        JsonNode usage = Json.readTree(last).path("usage");
        return usage.path("total_tokens").asLong();
    }

    private static String newKey() {
        return RequestKey.of(System.currentTimeMillis(), RandomIds.bits()).toString();
    }
}
