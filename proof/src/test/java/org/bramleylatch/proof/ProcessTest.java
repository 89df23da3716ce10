package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.bramleylatch.bench.Await;
import org.bramleylatch.bench.Caller;
import org.bramleylatch.bench.Deployment;
import org.bramleylatch.bench.Documents;
import org.bramleylatch.core.BudgetStatement;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.edge.RandomIds;
import org.bramleylatch.wire.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Kills, freezes and cuts off real processes and judges what came of it, never how long it took.
 */
class ProcessTest {
    private static final long PAID_TOKENS = 60_000;
    private static final String GRACE = ",\"retryGraceMillis\":5000";
    private static final long PATIENCE_MILLIS = 30_000;
    private static final String BUDGET_PATH = "/admin/v1/budgets/" + Deployment.BUDGET;
    private static final String CHAT_PATH = "/v1/chat/completions";

    @TempDir Path folder;

    private Deployment deployment;

    @BeforeEach
    void startOneZoneWithTwoEntryVms() {
        deployment =
                Deployment.in(folder)
                        .withEngine("engine-1", "langnau", "v1")
                        .withEngine("engine-2", "langnau", "v1")
                        .withService("ordnerei-1", "langnau")
                        .withPlatform()
                        .withAdmin("langnau")
                        .withKeeper("keeper-1", "langnau", GRACE)
                        .withKeeper("keeper-2", "langnau", GRACE)
                        .withRouter("router-1", "langnau", "keeper-1", "keeper-2")
                        .withRouter("router-2", "langnau", "keeper-1", "keeper-2");
        deployment.awaitReady("admin", "keeper-1", "keeper-2");
        deployment.publish(PAID_TOKENS);
        deployment.awaitReady("router-1", "router-2");
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    @Test
    void aStreamWhoseRouterIsKilledIsRunAgainThroughAnotherRouterAndBilledOnce() {
        String key = newKey();
        CompletableFuture<Caller.Reply> lost =
                member("router-1", key).postLater(CHAT_PATH, Documents.chat(5, 300, true));
        Await.until("tokens flow", PATIENCE_MILLIS, () -> heldTokens() > 0);
        deployment.signal("router-1", "KILL");
        assertThat(lost)
                .failsWithin(Duration.ofSeconds(30))
                .withThrowableOfType(ExecutionException.class);
        Caller.Reply again = retryUntilRun("router-2", key, Documents.chat(5, 300, true));
        long billed = totalTokens(again);
        assertThat(again.body()).endsWith("data: [DONE]\n\n");
        Await.until("usage is settled", PATIENCE_MILLIS, () -> account("settledTokens") > 0);
        assertThat(account("settledTokens")).isEqualTo(billed);
    }

    @Test
    void aStreamWhoseRouterIsKilledIsBilledForWhatTheEndpointUsedIfNobodyRetries() {
        CompletableFuture<Caller.Reply> lost =
                member("router-1", newKey()).postLater(CHAT_PATH, Documents.chat(5, 300, true));
        Await.until("tokens flow", PATIENCE_MILLIS, () -> heldTokens() > 0);
        deployment.signal("router-1", "KILL");
        Await.until("usage is settled", PATIENCE_MILLIS, () -> account("settledTokens") > 0);
        assertThat(account("settledTokens")).isLessThan(375);
        assertThat(lost).isCompletedExceptionally();
    }

    @Test
    void aFrozenKeeperHoldsUpNoCallerAndItsTokensStayItsOwn() {
        assertThat(chat("router-1").status()).isEqualTo(200);
        deployment.signal("keeper-1", "STOP");
        for (int number = 0; number < 3; number++) {
            assertThat(chat("router-1").status()).isEqualTo(200);
            assertThat(chat("router-2").status()).isEqualTo(200);
        }
        deployment.signal("keeper-1", "CONT");
        assertThat(chat("router-2").status()).isEqualTo(200);
        assertBooksBalance();
    }

    @Test
    void aKilledKeeperLosesNoUsageThatARouterStillHolds() {
        CompletableFuture<Caller.Reply> running =
                member("router-1", newKey()).postLater(CHAT_PATH, Documents.chat(5, 300, true));
        Await.until("tokens flow", PATIENCE_MILLIS, () -> heldTokens() > 0);
        deployment.signal("keeper-1", "KILL");
        deployment.withKeeper("keeper-1", "langnau");
        long billed = totalTokens(running.join());
        Await.until("usage is settled", PATIENCE_MILLIS, () -> account("settledTokens") > 0);
        assertThat(account("settledTokens")).isEqualTo(billed);
    }

    @Test
    void whileThePlatformIsAwayChatsGoOnAndBookingsAreRefusedAsNotRun() {
        assertThat(chat("router-1").status()).isEqualTo(200);
        platform("{\"outage\":true}");
        Await.until("the outage is seen", PATIENCE_MILLIS, () -> booking().status() == 503);
        assertThat(booking().body()).contains("\"run\":\"not_run\"");
        assertThat(chat("router-1").status()).isEqualTo(200);
        assertThat(bookings()).isZero();
        platform("{\"outage\":false}");
        Await.until("bookings run", PATIENCE_MILLIS, () -> booking().status() == 201);
        Await.until(
                "usage is settled",
                PATIENCE_MILLIS,
                () -> account("openTokens") >= 0 && account("settledTokens") > 0);
        assertBooksBalance();
    }

    @Test
    void aKeeperThatStartsWhileThePlatformIsAwayTakesThePeersLedgerAndGoesOnFromThere() {
        platform("{\"outage\":true}");
        deployment.withKeeperAndPeer("keeper-3", "langnau", "keeper-1");
        Caller keeper = deployment.caller("keeper-3");
        Await.until(
                "the peer's ledger is loaded",
                PATIENCE_MILLIS,
                () ->
                        keeper.isOk("/healthz")
                                && keeper.get("/ledger").body().contains(Deployment.BUDGET));
        assertThat(keeper.isOk("/readyz")).isFalse();
        platform("{\"outage\":false}");
        deployment.awaitReady("keeper-3");
        Await.until("chats run", PATIENCE_MILLIS, () -> chat("router-1").status() == 200);
        assertBooksBalance();
    }

    @Test
    void aBookingWhoseAnswerIsLostIsNeverSentAgain() {
        String key = newKey();
        deployment.caller("ordnerei-1").put("/faults", "{\"hangAfterRun\":true}").expect(200);
        Caller.Reply first = member("router-1", key).post("/bookings", "{\"bales\":1}");
        deployment.caller("ordnerei-1").put("/faults", "{\"hangAfterRun\":false}").expect(200);
        Caller.Reply again = member("router-2", key).post("/bookings", "{\"bales\":1}");
        assertThat(first.body()).contains("\"run\":\"unknown\"");
        assertThat(again.body()).contains("\"run\":\"unknown\"");
        assertThat(bookings()).isEqualTo(1);
    }

    @Test
    void anAppendWhoseAnswerIsLostIsFoldedOnce() {
        platform("{\"loseAnswers\":3}");
        Caller.Reply reply = chat("router-1");
        assertThat(reply.status()).isEqualTo(200);
        Await.until("usage is settled", PATIENCE_MILLIS, () -> account("settledTokens") > 0);
        assertThat(account("settledTokens")).isEqualTo(totalTokens(reply));
        assertBooksBalance();
    }

    @Test
    void aPlannedStopCutsNoStreamAndReturnsAllTokens() {
        CompletableFuture<Caller.Reply> running =
                member("router-1", newKey()).postLater(CHAT_PATH, Documents.chat(5, 300, true));
        Await.until("tokens flow", PATIENCE_MILLIS, () -> heldTokens() > 0);
        deployment.stop("router-1");
        assertThat(running.join().body()).endsWith("data: [DONE]\n\n");
        deployment.stop("router-2");
        deployment.stop("keeper-1");
        deployment.stop("keeper-2");
        Await.until("grants are returned", PATIENCE_MILLIS, () -> account("openTokens") == 0);
        assertThat(account("settledTokens")).isEqualTo(totalTokens(running.join()));
    }

    private void assertBooksBalance() {
        Caller admin = deployment.caller("admin").withKey(Deployment.ADMIN_KEY);
        BudgetStatement statement = Json.read(admin.get(BUDGET_PATH).body(), BudgetStatement.class);
        assertThat(statement.balances()).as(statement.toString()).isTrue();
        assertThat(statement.paidTokens()).isEqualTo(PAID_TOKENS);
    }

    private Caller.Reply chat(String router) {
        return member(router, newKey()).post(CHAT_PATH, Documents.chat(5, 20, true));
    }

    private Caller.Reply booking() {
        return member("router-2", newKey()).post("/bookings", "{\"bales\":1}");
    }

    private Caller.Reply retryUntilRun(String router, String key, String body) {
        Await.until(
                "the retry is taken",
                PATIENCE_MILLIS,
                () -> deployment.caller(router).isOk("/readyz"));
        Caller.Reply reply = member(router, key).post(CHAT_PATH, body);
        for (int tries = 0; tries < 50 && reply.status() == 409; tries++) {
            reply = member(router, key).post(CHAT_PATH, body);
        }
        return reply;
    }

    private Caller member(String router, String key) {
        return deployment
                .caller(router)
                .withKey(Deployment.MEMBER_KEY)
                .with("idempotency-key", key);
    }

    private void platform(String faults) {
        deployment.caller("platform").put("/faults", faults).expect(200);
    }

    private long heldTokens() {
        return held("engine-1") + held("engine-2");
    }

    private long held(String engine) {
        return Json.readTree(deployment.caller(engine).get("/load").body())
                .path("heldTokens")
                .asLong();
    }

    private long bookings() {
        return Json.readTree(deployment.caller("ordnerei-1").get("/bookings-count").body())
                .path("count")
                .asLong();
    }

    private long account(String part) {
        Caller admin = deployment.caller("admin").withKey(Deployment.ADMIN_KEY);
        return Json.readTree(admin.get(BUDGET_PATH).body()).path(part).asLong(-1);
    }

    private static long totalTokens(Caller.Reply reply) {
        String[] events = reply.body().split("\n\n");
        String last = events[events.length - 2].substring("data: ".length());
        JsonNode usage = Json.readTree(last).path("usage");
        return usage.path("total_tokens").asLong();
    }

    private static String newKey() {
        return RequestKey.of(System.currentTimeMillis(), RandomIds.bits()).toString();
    }
}
