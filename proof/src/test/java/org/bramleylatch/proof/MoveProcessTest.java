package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.bramleylatch.bench.Await;
import org.bramleylatch.bench.Caller;
import org.bramleylatch.bench.Deployment;
import org.bramleylatch.bench.Documents;
import org.bramleylatch.wire.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Moves a route between versions of real engine processes. */
class MoveProcessTest {
    private static final long PAID_TOKENS = 1_000_000;
    private static final long HOUR_MILLIS = 3_600_000;
    private static final int MOST_CHATS = 400;

    @TempDir Path folder;

    private Deployment deployment;

    @BeforeEach
    void startTwoVersionsSideBySide() {
        deployment =
                Deployment.in(folder)
                        .withEngine("engine-old", "langnau", "v1", "--step-millis", "1")
                        .withEngine("engine-new", "langnau", "v2", "--step-millis", "1")
                        .withOneEntryVm(PAID_TOKENS);
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    @Test
    void aGoodVersionTakesOverAndTheMoveIsDone() {
        begin();
        chatUntilTheMoveEnds();
        assertThat(state()).isEqualTo("DONE");
    }

    @Test
    void aBadVersionIsTakenBackAndNoCallerSeesItFail() {
        String faults = "{\"failPercent\":100}";
        deployment.caller("engine-new").put("/faults", faults).expect(200);
        begin();
        int failed = chatUntilTheMoveEnds();
        assertThat(state()).isEqualTo("TAKEN_BACK");
        assertThat(failed).isZero();
    }

    private void begin() {
        String move =
                "{\"route\":\"seilhelfer\",\"from\":\"v1\",\"to\":\"v2\",\"deadlineMillis\":"
                        + (System.currentTimeMillis() + HOUR_MILLIS)
                        + ",\"stagesPermille\":[200,1000],\"goodPerStage\":10}";
        admin().post("/admin/v1/moves", move).expect(201);
    }

    private int chatUntilTheMoveEnds() {
        Await.until("the move is seen", 10_000, () -> !state().isEmpty());
        int failed = 0;
        for (int chat = 0; chat < MOST_CHATS && state().equals("RUNNING"); chat++) {
            Caller caller = deployment.caller("router").withKey(Deployment.MEMBER_KEY);
            int status = caller.post("/v1/chat/completions", Documents.chat(1, 4, true)).status();
            failed += status == 200 ? 0 : 1;
        }
        return failed;
    }

    private String state() {
        return Json.readTree(admin().get("/admin/v1/moves").body()).path(0).path("state").asText();
    }

    private Caller admin() {
        return deployment.caller("admin").withKey(Deployment.ADMIN_KEY);
    }
}
