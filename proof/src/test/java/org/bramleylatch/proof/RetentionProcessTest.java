package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.bramleylatch.bench.Await;
import org.bramleylatch.bench.Caller;
import org.bramleylatch.bench.Deployment;
import org.bramleylatch.bench.Documents;
import org.bramleylatch.core.BudgetStatement;
import org.bramleylatch.wire.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Starts processes after the records that they would need have expired. */
class RetentionProcessTest {
    private static final long PAID_TOKENS = 1_000_000;
    private static final long PATIENCE_MILLIS = 30_000;
    private static final int CHATS = 400;
    private static final String OFTEN = ",\"snapshotEveryRecords\":10";

    @TempDir Path folder;

    private Deployment deployment;

    @AfterEach
    void stop() {
        deployment.close();
    }

    @Test
    void aNewEntryVmStartsFromASnapshotWhenOldRecordsAreGone() {
        deployment =
                Deployment.in(folder)
                        .withEngine("engine", "langnau", "v1", "--step-millis", "1")
                        .withPlatform("--retain", "40")
                        .withAdmin("langnau")
                        .withKeeper("keeper-1", "langnau", OFTEN)
                        .withRouter("router-1", "langnau", "keeper-1", "keeper-2");
        deployment.awaitReady("admin", "keeper-1");
        deployment.publish(PAID_TOKENS);
        deployment.awaitReady("router-1");
        for (int chat = 0; chat < CHATS; chat++) {
            assertThat(chat("router-1").status()).isEqualTo(200);
        }
        assertThat(deployment.caller("platform").get("/log/accounts-0?from=0&most=1").status())
                .as("the first records are gone")
                .isEqualTo(410);
        deployment
                .withKeeper("keeper-2", "langnau", OFTEN)
                .withRouter("router-2", "langnau", "keeper-2");
        deployment.awaitReady("keeper-2", "router-2");
        assertThat(chat("router-2").status()).isEqualTo(200);
        Await.until("usage is settled", PATIENCE_MILLIS, () -> statement().settledTokens() > 0);
        assertThat(statement().balances()).isTrue();
        assertThat(statement().paidTokens()).isEqualTo(PAID_TOKENS);
    }

    private Caller.Reply chat(String router) {
        return deployment
                .caller(router)
                .withKey(Deployment.MEMBER_KEY)
                .post("/v1/chat/completions", Documents.chat(1, 2, true));
    }

    private BudgetStatement statement() {
        Caller admin = deployment.caller("admin").withKey(Deployment.ADMIN_KEY);
        String body = admin.get("/admin/v1/budgets/" + Deployment.BUDGET).body();
        return Json.read(body, BudgetStatement.class);
    }
}
