package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against blaming sound parts of prompts for the crashes that another part causes. */
class CrashAnalysisTest {
    private static final PromptPartId SYSTEM_PROMPT = part("system");
    private static final PromptPartId MANUAL = part("manual");
    private static final PromptPartId CRASHING = part("crashing");

    @Test
    void aPartThatWasUnansweredAtTwoCrashesAndIsNeverAnsweredIsBlamed() {
        List<CrashReport> crashes =
                List.of(crash("e1", 0, MANUAL, CRASHING), crash("e2", 50, CRASHING));
        assertThat(blamed(crashes, Map.of())).containsExactly(CRASHING);
    }

    @Test
    void oneCrashIsNotEnoughToBlameAPart() {
        assertThat(blamed(List.of(crash("e1", 0, CRASHING)), Map.of())).isEmpty();
    }

    @Test
    void aPartThatIsAnsweredAsOftenAsItIsUnansweredAtACrashIsNotBlamed() {
        List<CrashReport> crashes = List.of(crash("e1", 0, MANUAL), crash("e2", 50, MANUAL));
        assertThat(blamed(crashes, Map.of(MANUAL, 1))).isEmpty();
    }

    @Test
    void thePartsBesideABlamedOneInTheSamePromptsAreNotBlamed() {
        List<CrashReport> crashes =
                List.of(
                        crash("e1", 0, SYSTEM_PROMPT, MANUAL, CRASHING),
                        crash("e2", 50, SYSTEM_PROMPT, MANUAL, CRASHING),
                        crash("e3", 90, SYSTEM_PROMPT, MANUAL, CRASHING));
        assertThat(blamed(crashes, Map.of(SYSTEM_PROMPT, 400))).containsExactly(CRASHING);
    }

    @Test
    void aShallowPartIsBlamedOnceItExplainsCrashesThatADeeperOneDoesNot() {
        List<CrashReport> crashes =
                List.of(
                        crash("e1", 0, SYSTEM_PROMPT, CRASHING, MANUAL),
                        crash("e2", 50, SYSTEM_PROMPT, CRASHING, part("other")),
                        crash("e3", 90, SYSTEM_PROMPT, CRASHING, MANUAL));
        assertThat(blamed(crashes, Map.of(SYSTEM_PROMPT, 400))).containsExactly(CRASHING);
    }

    @Test
    void twoPartsThatCrashEndpointsIndependentlyAreBothBlamed() {
        List<CrashReport> crashes =
                List.of(
                        crash("e1", 0, CRASHING),
                        crash("e2", 50, CRASHING),
                        crash("e3", 60, MANUAL),
                        crash("e4", 70, MANUAL));
        assertThat(blamed(crashes, Map.of())).containsExactlyInAnyOrder(CRASHING, MANUAL);
    }

    @Test
    void theQuarantineIsLongerTheMoreCrashesThePartCauses() {
        List<CrashReport> crashes = List.of(crash("e1", 0, CRASHING), crash("e2", 50, CRASHING));
        List<CrashReport> more = new ArrayList<>(crashes);
        more.add(crash("e3", 50, CRASHING));
        assertThat(retrialAtMillis(crashes)).isEqualTo(30_050);
        assertThat(retrialAtMillis(more)).isEqualTo(60_050);
    }

    private static long retrialAtMillis(List<CrashReport> crashes) {
        return CrashAnalysis.blame(crashes, Map.of()).get(0).retrialAtMillis();
    }

    private static List<PromptPartId> blamed(
            List<CrashReport> crashes, Map<PromptPartId, Integer> clears) {
        return CrashAnalysis.blame(crashes, clears).stream().map(QuarantineRow::part).toList();
    }

    private static CrashReport crash(String endpoint, long millis, PromptPartId... parts) {
        List<SuspectPart> suspects = new ArrayList<>();
        for (int depth = 0; depth < parts.length; depth++) {
            suspects.add(new SuspectPart(parts[depth], depth));
        }
        return new CrashReport(EndpointId.of(endpoint), millis, suspects);
    }

    private static PromptPartId part(String name) {
        return new PromptPartId("seilhelfer", name);
    }
}
