package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.bramleylatch.bench.Await;
import org.bramleylatch.bench.Deployment;
import org.bramleylatch.bench.ProcessClient;
import org.bramleylatch.bench.RequestBodies;
import org.bramleylatch.wire.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * Moves a route between versions of real engine processes. Guards against a planned move that does
 * not end, and against a failing new version that callers notice.
 */
class MoveProcessTest {
    private static final long PAID_TOKENS = 1_000_000;
    private static final long HOUR_MILLIS = 3_600_000;
    private static final int MAX_CHATS = 400;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path folder;

    private Deployment deployment;

    @BeforeEach
    void startTwoVersionsSideBySide() {
        deployment =
                Deployment.in(folder)
                        .startEngine("engine-old", "langnau", "v1", "--step-millis", "1")
                        .startEngine("engine-new", "langnau", "v2", "--step-millis", "1")
                        .startOneEntryVm(PAID_TOKENS);
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    @Test
    void theMoveToAGoodVersionIsDone() {
        beginMove();
        chatUntilTheMoveEnds();
        assertThat(moveState()).isEqualTo("DONE");
    }

    @Test
    void theMoveToAFailingVersionIsTakenBackAndNoCallerSeesAFailure() {
        String faults = "{\"failPercent\":100}";
        deployment.client("engine-new").put("/faults", faults).expectStatus(200);
        beginMove();
        int failedChats = chatUntilTheMoveEnds();
        assertThat(moveState()).isEqualTo("TAKEN_BACK");
        assertThat(failedChats).isZero();
    }

    private void beginMove() {
        String move =
                "{\"route\":\"seilhelfer\",\"from\":\"v1\",\"to\":\"v2\",\"deadlineMillis\":"
                        + (System.currentTimeMillis() + HOUR_MILLIS)
                        + ",\"stagesPermille\":[200,1000],\"goodPerStage\":10}";
        admin().post("/admin/v1/moves", move).expectStatus(201);
    }

    private int chatUntilTheMoveEnds() {
        Await.until("the administration API lists the move", 10_000, () -> !moveState().isEmpty());
        int failedChats = 0;
        for (int chat = 0; chat < MAX_CHATS && moveState().equals("RUNNING"); chat++) {
            ProcessClient member = deployment.client("router").withKey(Deployment.MEMBER_KEY);
            int status =
                    member.post("/v1/chat/completions", RequestBodies.chat(1, 4, true)).status();
            failedChats += status == 200 ? 0 : 1;
        }
        return failedChats;
    }

    private String moveState() {
        return Json.readTree(admin().get("/admin/v1/moves").body()).path(0).path("state").asText();
    }

    private ProcessClient admin() {
        return deployment.client("admin").withKey(Deployment.ADMIN_KEY);
    }
}
