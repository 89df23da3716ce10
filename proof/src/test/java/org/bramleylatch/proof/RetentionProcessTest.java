package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.bramleylatch.bench.Await;
import org.bramleylatch.bench.Deployment;
import org.bramleylatch.bench.ProcessClient;
import org.bramleylatch.bench.RequestBodies;
import org.bramleylatch.core.BudgetStatement;
import org.bramleylatch.wire.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a keeper that cannot build its ledger because the log no longer holds its first
 * records. The log keeps 40 records, and keepers write a snapshot every 10 records.
 */
class RetentionProcessTest {
    private static final long PAID_TOKENS = 1_000_000;
    private static final long WAIT_TIMEOUT_MILLIS = 30_000;
    private static final int CHAT_COUNT = 400;
    private static final String FREQUENT_SNAPSHOTS_SETTING = ",\"snapshotEveryRecords\":10";

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path folder;

    private Deployment deployment;

    @AfterEach
    void stop() {
        deployment.close();
    }

    @Test
    void aNewEntryVmStartsFromASnapshotWhenEarlierRecordsHaveExpired() {
        deployment =
                Deployment.in(folder)
                        .startEngine("engine", "langnau", "v1", "--step-millis", "1")
                        .startPlatform("--retain", "40")
                        .startAdmin("langnau")
                        .startKeeper("keeper-1", "langnau", FREQUENT_SNAPSHOTS_SETTING)
                        .startRouter("router-1", "langnau", "keeper-1", "keeper-2");
        deployment.awaitReady("admin", "keeper-1");
        deployment.publishAndTopUp(PAID_TOKENS);
        deployment.awaitReady("router-1");
        for (int chat = 0; chat < CHAT_COUNT; chat++) {
            assertThat(postChat("router-1").status()).isEqualTo(200);
        }
        assertThat(deployment.client("platform").get("/log/accounts-0?from=0&most=1").status())
                .as("the first records have expired")
                .isEqualTo(410);
        deployment
                .startKeeper("keeper-2", "langnau", FREQUENT_SNAPSHOTS_SETTING)
                .startRouter("router-2", "langnau", "keeper-2");
        deployment.awaitReady("keeper-2", "router-2");
        assertThat(postChat("router-2").status()).isEqualTo(200);
        Await.until(
                "usage is settled",
                WAIT_TIMEOUT_MILLIS,
                () -> budgetStatement().settledTokens() > 0);
        assertThat(budgetStatement().balances()).isTrue();
        assertThat(budgetStatement().paidTokens()).isEqualTo(PAID_TOKENS);
    }

    private ProcessClient.Reply postChat(String router) {
        return deployment
                .client(router)
                .withKey(Deployment.MEMBER_KEY)
                .post("/v1/chat/completions", RequestBodies.chat(1, 2, true));
    }

    private BudgetStatement budgetStatement() {
        ProcessClient admin = deployment.client("admin").withKey(Deployment.ADMIN_KEY);
        String body = admin.get("/admin/v1/budgets/" + Deployment.BUDGET).body();
        return Json.read(body, BudgetStatement.class);
    }
}
