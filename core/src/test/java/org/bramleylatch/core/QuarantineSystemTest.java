package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a prompt that crashes its endpoint being sent on from one endpoint to the next,
 * while every router sees only its own part of the evidence.
 */
class QuarantineSystemTest {
    private static final int VMS = 7;
    private static final int ENDPOINTS = 13;

    private final RouterFleet fleet = new RouterFleet(VMS, ENDPOINTS);

    @Test
    void requestsThatCrashEndpointsReachNoneAfterTwoCrashesWhicheverRouterTheyArriveAt() {
        crashEndpoints();
        for (String vm : fleet.vms()) {
            fleet.arrive(vm, "system", "manual", RouterFleet.CRASHING);
        }
        assertThat(fleet.runningCount()).isZero();
        assertThat(fleet.crashCount()).isEqualTo(2);
    }

    /** Guards against BUDGET: one request, repeated by its caller, crashes server after server. */
    @Test
    void aRequestThatCrashesEndpointsByItselfReachesNoneAfterTwoCrashesWhereverItIsRepeated() {
        repeatUntilRefused(RouterFleet.CRASHING);
        fleet.vms().forEach(vm -> fleet.arriveAgain(vm, RouterFleet.CRASHING, "system"));
        assertThat(fleet.runningCount()).isZero();
        assertThat(fleet.crashCount()).isEqualTo(2);
    }

    @Test
    void aRequestThatCrashesEndpointsAfterItsAnswerHasBegunIsResumedOnce() {
        fleet.arriveAgain("vm-1", RouterFleet.CRASHING, "system");
        for (int crash = 0; crash < 4; crash++) {
            fleet.beginAnswers();
            fleet.answerAll();
        }
        fleet.vms().forEach(vm -> fleet.arriveAgain(vm, RouterFleet.CRASHING, "system"));
        assertThat(fleet.runningCount()).isZero();
        assertThat(fleet.crashCount()).isEqualTo(2);
    }

    /** Guards against a part that no report names, as whole requests take the places in it. */
    @Test
    void aPartIsReportedBeforeTheWholeRequestsThatWereUnansweredBesideIt() {
        RouterFleet oneEndpoint = new RouterFleet(1, 1);
        for (int request = 0; request < 100; request++) {
            oneEndpoint.arriveAgain("vm-1", "sound-" + request);
        }
        oneEndpoint.arriveAgain("vm-1", "last", RouterFleet.CRASHING);
        int running = oneEndpoint.runningCount();
        oneEndpoint.answerAll();
        assertThat(running).isEqualTo(101);
        assertThat(oneEndpoint.world("vm-1").crashTables().ownCrashes().rows())
                .anySatisfy(
                        crash ->
                                assertThat(crash.suspects())
                                        .extracting(suspect -> suspect.id().part())
                                        .contains(RouterFleet.CRASHING));
    }

    @Test
    void otherRequestsWithTheSamePromptPartsAreSentOnBesideOneThatCrashesEndpointsByItself() {
        fleet.arriveAgain("vm-1", "sound", "system");
        fleet.answerAll();
        repeatUntilRefused(RouterFleet.CRASHING);
        fleet.vms().forEach(vm -> fleet.arriveAgain(vm, "sound-" + vm, "system"));
        assertThat(fleet.runningCount()).isEqualTo(VMS);
    }

    @Test
    void aQuarantinedRequestIsRefusedAtOnceAsNotRunWithTheTimeOfTheRetrial() {
        crashEndpoints();
        RequestId request = fleet.arrive("vm-3", "system", RouterFleet.CRASHING);
        RouterOutput.Refuse refusal = fleet.refusal("vm-3", request).orElseThrow();
        assertThat(refusal.code()).isEqualTo(ResultCode.PROMPT_QUARANTINED);
        assertThat(refusal.runState()).isEqualTo(RunState.NOT_RUN);
        assertThat(refusal.retryAfterMillis().orElseThrow()).isBetween(29_000L, 30_000L);
    }

    @Test
    void soundRequestsThatShareTheOtherPartsAreSentOnAtTheirFirstAttempt() {
        crashEndpoints();
        for (String vm : fleet.vms()) {
            fleet.arrive(vm, "system", "manual", "own");
        }
        assertThat(fleet.runningCount()).isEqualTo(VMS);
    }

    @Test
    void soundRequestsThatWereUnansweredAtEveryCrashAreSentOnOnceOneOfThemIsAnswered() {
        for (int crash = 0; crash < 3; crash++) {
            fleet.arrive("vm-1", "system", "manual", RouterFleet.CRASHING);
            fleet.arrive("vm-2", "system", "manual", "rare");
            fleet.answerAll();
        }
        fleet.arrive("vm-3", "system", "manual", "rare");
        assertThat(fleet.runningCount()).isEqualTo(1);
    }

    @Test
    void connectionsResetByLiveEndpointsAreNoEvidence() {
        breakFourRequests(false);
        fleet.arrive("vm-1", "system", "own");
        assertThat(fleet.runningCount()).isEqualTo(1);
    }

    @Test
    void connectionsBrokenByLeavingEndpointsAreNoEvidence() {
        fleet.arrive("vm-1", "own");
        fleet.arrive("vm-2", "own");
        fleet.drainEndpoints();
        fleet.breakAttempts("vm-1", true);
        fleet.breakAttempts("vm-2", true);
        assertThat(fleet.world("vm-1").crashTables().crashes().size()).isZero();
    }

    @Test
    void aRouterThatRestartsKnowsWhatTheStoreHolds() {
        crashEndpoints();
        fleet.vms().forEach(fleet::start);
        fleet.arrive("vm-1", "system", RouterFleet.CRASHING);
        fleet.arrive("vm-7", "system", RouterFleet.CRASHING);
        assertThat(fleet.runningCount()).isZero();
    }

    @Test
    void aRouterThatIsCutOffActsOnWhatItSawItself() {
        fleet.setConnected(false);
        fleet.arrive("vm-1", "system", RouterFleet.CRASHING);
        fleet.answerAll();
        fleet.answerAll();
        fleet.arrive("vm-1", "system", RouterFleet.CRASHING);
        assertThat(fleet.runningCount()).isZero();
        assertThat(fleet.crashCount()).isEqualTo(2);
    }

    @Test
    void whenTheRetrialIsDueOneRouterOfAllSendsOneRequest() {
        crashEndpoints();
        fleet.advance(30_001);
        for (String vm : fleet.vms()) {
            fleet.arrive(vm, "system", RouterFleet.CRASHING);
            fleet.arrive(vm, "system", RouterFleet.CRASHING);
        }
        assertThat(fleet.runningCount()).isEqualTo(1);
        fleet.answerAll();
        assertThat(fleet.crashCount()).isEqualTo(3);
        fleet.vms().forEach(vm -> fleet.arrive(vm, "system", RouterFleet.CRASHING));
        assertThat(fleet.runningCount()).isZero();
    }

    @Test
    void aPartThatIsAnsweredAtItsRetrialIsReleasedEverywhere() {
        breakFourRequests(true);
        assertThat(quarantined("vm-5")).isNotEmpty();
        for (int round = 0; round < 5; round++) {
            fleet.advance(100_000);
            fleet.vms().forEach(vm -> fleet.arrive(vm, "system", "own"));
            fleet.answerAll();
        }
        assertThat(fleet.vms()).allSatisfy(vm -> assertThat(quarantined(vm)).isEmpty());
    }

    @Test
    void aStreamThatHasBegunMayBeResumedAlthoughAPartOfItsPromptIsQuarantined() {
        crashEndpoints();
        RequestRow request = RequestRow.of(fleet.newSpec("system", RouterFleet.CRASHING));
        RouterWorld world = fleet.world("vm-3");
        assertThat(QuarantineSystem.findBlocking(world, request, 0)).isPresent();
        RequestRow begun = request.tokensDelivered(1);
        assertThat(QuarantineSystem.findBlocking(world, begun, 0)).isEmpty();
    }

    @Test
    void evidenceExpiresSoThatARepairedModelGetsItsPromptsBack() {
        crashEndpoints();
        fleet.advance(CrashTables.EVIDENCE_MILLIS);
        assertThat(fleet.vms()).allSatisfy(vm -> assertThat(quarantined(vm)).isEmpty());
    }

    @Test
    void newPartsInEachRequestDoNotGrowTheTablesWithoutBound() {
        for (int index = 0; index < 20_000; index++) {
            fleet.world("vm-1").crashTables().addClear(part("part-" + index), 1_000);
        }
        assertThat(fleet.world("vm-1").crashTables().recentClears().size()).isEqualTo(10_000);
        assertThat(fleet.world("vm-1").crashTables().ownClears().size()).isZero();
    }

    /** Lets a request arrive at two routers, each of which sees one crash, and its neighbors. */
    private void crashEndpoints() {
        fleet.arrive("vm-1", "system", "manual", "own");
        fleet.answerAll();
        fleet.arrive("vm-1", "system", "manual", RouterFleet.CRASHING);
        fleet.answerAll();
        fleet.arrive("vm-2", "system", "manual", RouterFleet.CRASHING);
        fleet.answerAll();
    }

    private void breakFourRequests(boolean endpointsEnded) {
        for (String vm : List.of("vm-1", "vm-2")) {
            fleet.arrive(vm, "system", "own");
            fleet.breakAttempts(vm, endpointsEnded);
            fleet.breakAttempts(vm, endpointsEnded);
        }
    }

    private List<QuarantineRow> quarantined(String vm) {
        return fleet.world(vm).crashTables().quarantine().where(row -> true);
    }

    private void repeatUntilRefused(String fingerprint) {
        for (int attempt = 0; attempt < 4; attempt++) {
            fleet.arriveAgain("vm-1", fingerprint, "system");
            fleet.answerAll();
        }
    }

    private static PromptPartId part(String name) {
        return new PromptPartId("seilhelfer", name);
    }
}
