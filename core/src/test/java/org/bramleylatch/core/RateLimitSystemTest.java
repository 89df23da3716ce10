package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an endpoint that gets more requests than the limit that it names, because each
 * router keeps the limit by itself and only their sum exceeds it.
 */
class RateLimitSystemTest {
    private static final long STEP_MILLIS = 20;
    private static final long WINDOW_MILLIS = 4_000;

    /** The platform's rule LIMIT: one and a half times the limit, and five requests. */
    private static final double ALLOWED_FACTOR = 1.5;

    private static final int ALLOWED_EXTRA = 5;

    @ParameterizedTest
    @CsvSource({"7, 4.1", "1, 4.1", "7, 0.3", "70, 4.1", "70, 60", "7, 200"})
    void allRoutersTogetherStayWithinTheLimitInEveryFourSeconds(
            int routers, double requestsPerSecond) {
        RouterFleet fleet = new RouterFleet(routers, 1);
        EndpointId endpoint = fleet.endpointIds().get(0);
        List<Integer> startedPerStep = new ArrayList<>();
        fleet.answerWithLimit("vm-1", endpoint, Optional.of(requestsPerSecond));
        fleet.takeStarted();
        for (long millis = 0; millis < 3 * WINDOW_MILLIS; millis += STEP_MILLIS) {
            fleet.vms().forEach(vm -> fleet.arrive(vm, "system", "own"));
            fleet.advance(STEP_MILLIS);
            startedPerStep.add(fleet.takeStarted().size());
            fleet.answerAll();
            if (millis % 1_000 == 0) {
                fleet.answerWithLimit("vm-1", endpoint, Optional.of(requestsPerSecond));
            }
        }
        double allowed = requestsPerSecond * WINDOW_MILLIS / 1_000;
        assertThat(largestWindow(startedPerStep))
                .isLessThanOrEqualTo((int) (ALLOWED_FACTOR * allowed + ALLOWED_EXTRA));
        assertThat(largestWindow(startedPerStep)).isGreaterThanOrEqualTo((int) (0.8 * allowed));
    }

    @Test
    void aRouterThatTheEndpointHasNotAnsweredKeepsTheLimitThatItHearsFromAnother() {
        RouterFleet fleet = new RouterFleet(7, 2);
        EndpointId limited = fleet.endpointIds().get(0);
        fleet.answerWithLimit("vm-3", limited, Optional.of(4.0));
        fleet.vms().forEach(vm -> fleet.arrive(vm, "system", "own"));
        assertThat(fleet.takeStarted())
                .hasSize(7)
                .allSatisfy(start -> assertThat(start.endpoint()).isNotEqualTo(limited));
    }

    @Test
    void theTwoSidesOfAPartitionTogetherStayWithinTheLimit() {
        RouterFleet fleet = new RouterFleet(7, 1);
        EndpointId endpoint = fleet.endpointIds().get(0);
        fleet.answerWithLimit("vm-1", endpoint, Optional.of(4.0));
        for (String cut : List.of("vm-1", "vm-2", "vm-3")) {
            for (String other : List.of("vm-4", "vm-5", "vm-6", "vm-7")) {
                fleet.disconnect(cut, other);
            }
        }
        fleet.advance(200);
        assertThat(shareSum(fleet, endpoint)).isBetween(3.9, 4.0 + 1e-9);
    }

    @Test
    void theLoadComesBackInStepsAfterTheLimitHasEnded() {
        RouterFleet fleet = new RouterFleet(7, 1);
        EndpointId endpoint = fleet.endpointIds().get(0);
        fleet.answerWithLimit("vm-1", endpoint, Optional.of(4.0));
        fleet.answerWithLimit("vm-1", endpoint, Optional.empty());
        fleet.advance(1_000);
        assertThat(shareSum(fleet, endpoint)).isBetween(7.9, 8.1);
        fleet.advance(1_000);
        assertThat(shareSum(fleet, endpoint)).isBetween(15.9, 16.1);
        fleet.advance(4_000);
        assertThat(fleet.vms())
                .allSatisfy(vm -> assertThat(fleet.world(vm).rateLimits().size()).isZero());
    }

    @Test
    void aRequestThatNoEndpointMayTakeInTimeIsRefusedAtOnceWithTheTimeOfTheNextPermit() {
        RouterFleet fleet = new RouterFleet(1, 1);
        fleet.answerWithLimit("vm-1", fleet.endpointIds().get(0), Optional.of(1.0));
        RequestId request = fleet.arrive("vm-1", "system", "own");
        RouterOutput.Refuse refusal = fleet.refusal("vm-1", request).orElseThrow();
        assertThat(refusal.code()).isEqualTo(ResultCode.OVERLOADED);
        assertThat(refusal.runState()).isEqualTo(RunState.NOT_RUN);
        assertThat(refusal.retryAfterMillis()).contains(1_000L);
    }

    @Test
    void aRequestWaitsWhileAnEndpointWithoutALimitIsFull() {
        RouterFleet fleet = new RouterFleet(1, 2);
        fleet.answerWithLimit("vm-1", fleet.endpointIds().get(0), Optional.of(0.5));
        RequestId request = fleet.arrive("vm-1", "system", "own");
        fleet.setFull(fleet.endpointIds().get(1));
        RequestId waiting = fleet.arrive("vm-1", "system", "own");
        assertThat(fleet.takeStarted()).hasSize(1);
        assertThat(fleet.refusal("vm-1", request)).isEmpty();
        assertThat(fleet.refusal("vm-1", waiting)).isEmpty();
    }

    @Test
    void aRequestThatAnEndpointMayTakeInTimeWaitsForThePermit() {
        RouterFleet fleet = new RouterFleet(1, 1);
        fleet.answerWithLimit("vm-1", fleet.endpointIds().get(0), Optional.of(5.0));
        RequestId request = fleet.arrive("vm-1", "system", "own");
        assertThat(fleet.takeStarted()).isEmpty();
        fleet.advance(200);
        assertThat(fleet.takeStarted()).hasSize(1);
        assertThat(fleet.refusal("vm-1", request)).isEmpty();
    }

    @Test
    void aLimitThatNobodyWasToldOfForSomeTimeIsTestedByEveryRouter() {
        RouterFleet fleet = new RouterFleet(7, 1);
        EndpointId endpoint = fleet.endpointIds().get(0);
        fleet.answerWithLimit("vm-1", endpoint, Optional.of(1.0));
        fleet.advance(5_100);
        fleet.vms().forEach(vm -> fleet.arrive(vm, "system", "own"));
        fleet.advance(200);
        assertThat(fleet.vms())
                .allSatisfy(
                        vm ->
                                assertThat(
                                                fleet.world(vm)
                                                        .rateLimits()
                                                        .find(endpoint)
                                                        .orElseThrow()
                                                        .sharePerSecond())
                                        .isBetween(0.14, 0.15));
    }

    @Test
    void theLimitOfAnEndpointThatIsGoneIsForgotten() {
        RouterFleet fleet = new RouterFleet(2, 2);
        EndpointId endpoint = fleet.endpointIds().get(0);
        fleet.answerWithLimit("vm-1", endpoint, Optional.of(1.0));
        fleet.vms().forEach(vm -> fleet.receive(vm, new RouterInput.EndpointWithdrawn(endpoint)));
        assertThat(fleet.world("vm-2").rateLimits().size()).isZero();
        assertThat(fleet.world("vm-2").heardLimits().size()).isZero();
    }

    @Test
    void anOldReportOfALimitChangesNothing() {
        RouterFleet fleet = new RouterFleet(1, 1);
        EndpointLimit old = new EndpointLimit(fleet.endpointIds().get(0), Optional.of(1.0), 1_000);
        fleet.receive(
                "vm-1",
                new RouterInput.ReportReceived(
                        new LimitReport(Incarnation.of("router@vm-2-1"), List.of(old), List.of())));
        assertThat(fleet.world("vm-1").rateLimits().size()).isZero();
    }

    private static double shareSum(RouterFleet fleet, EndpointId endpoint) {
        return fleet.vms().stream()
                .flatMap(vm -> fleet.world(vm).rateLimits().find(endpoint).stream())
                .mapToDouble(RateLimitRow::sharePerSecond)
                .sum();
    }

    private static int largestWindow(List<Integer> startedPerStep) {
        int steps = (int) (WINDOW_MILLIS / STEP_MILLIS);
        int largest = 0;
        for (int start = 0; start + steps <= startedPerStep.size(); start++) {
            largest =
                    Math.max(
                            largest,
                            startedPerStep.subList(start, start + steps).stream()
                                    .mapToInt(Integer::intValue)
                                    .sum());
        }
        return largest;
    }
}
