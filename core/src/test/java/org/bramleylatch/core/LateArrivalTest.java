package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Answers the pattern "most of a zone's callers are on one weak VM": what it reads has waited, and
 * work that is begun too late is lost for the caller and for the endpoint.
 */
class LateArrivalTest {
    private static final long TIMEOUT_MILLIS = 1_500;
    private static final long PATIENCE_MILLIS = 2_000;
    private static final RouteOptions OPTIONS =
            new RouteOptions(
                    Optional.of("host"),
                    true,
                    false,
                    true,
                    true,
                    false,
                    2,
                    0,
                    0,
                    400,
                    List.of(),
                    Optional.of(PATIENCE_MILLIS));
    private static final RouteRow ROUTE =
            new RouteRow(
                    RouteName.of("chat"),
                    RouteKind.CHAT,
                    "/chat/",
                    "seilhelfer",
                    true,
                    0,
                    List.of(),
                    Optional.of(OPTIONS));

    /** Guards against callers that are told a timeout although their requests never ran. */
    @Test
    void aCallThatMayHaveWaitedTooLongIsNotServedHereButMayGoToAnotherVm() {
        assertThat(refusal(TIMEOUT_MILLIS, 1_500)).contains(ResultCode.VM_OVERLOADED);
        assertThat(refusal(15_000, PATIENCE_MILLIS)).contains(ResultCode.VM_OVERLOADED);
    }

    @Test
    void aCallThatCannotBeAnsweredInTimeIsRefusedAtOnceForAnotherVm() {
        assertThat(refusal(TIMEOUT_MILLIS, 400)).contains(ResultCode.VM_OVERLOADED);
        assertThat(refusal(15_000, 600)).contains(ResultCode.VM_OVERLOADED);
        assertThat(RetryAdvice.isForAnotherVm(ResultCode.VM_OVERLOADED)).isTrue();
        assertThat(RetryAdvice.retryAfterMillis(ResultCode.VM_OVERLOADED))
                .isLessThan(RetryAdvice.retryAfterMillis(ResultCode.OVERLOADED));
    }

    @Test
    void aCallThatWaitedLittleIsServed() {
        assertThat(refusal(TIMEOUT_MILLIS, 0)).isEmpty();
        assertThat(refusal(TIMEOUT_MILLIS, 300)).isEmpty();
        assertThat(refusal(200, 90)).as("within the noise of a sound process").isEmpty();
    }

    /** Guards against sound callers that are refused as their bodies take long to arrive. */
    @Test
    void theTimeInWhichACallerSendsItsBodyIsNoWaitOfTheVm() {
        assertThat(LateArrival.findRefusal(call(TIMEOUT_MILLIS, 0, 1_000), OPTIONS, 1_000))
                .as("body complete just now")
                .isEmpty();
        assertThat(LateArrival.findRefusal(call(15_000, 0, 4_000), OPTIONS, 4_000))
                .as("the gap after which callers leave begins at the end of the body")
                .isEmpty();
        assertThat(LateArrival.findRefusal(call(TIMEOUT_MILLIS, 0, 1_450), OPTIONS, 1_500))
                .as("the deadline counts from the head")
                .contains(ResultCode.DEADLINE_EXCEEDED);
        assertThat(LateArrival.findRefusal(call(TIMEOUT_MILLIS, 0, 900), OPTIONS, 1_100))
                .as("three more waits of 200 ms do not fit into the rest")
                .contains(ResultCode.VM_OVERLOADED);
    }

    /** Guards against requests that are sent on after their callers have left. */
    @Test
    void aRouterSendsNothingOnForACallThatWaitedTooLong() {
        RouterHarness router = new RouterHarness();
        router.receive(
                new RouterInput.ConfigurationReceived(
                        new Configuration(1, List.of(), List.of(ROUTE))));
        long nowMillis = router.nowMillis();
        router.receive(new RouterInput.CallArrived(call(TIMEOUT_MILLIS, nowMillis - 1_600)));
        router.receive(new RouterInput.CallArrived(call(TIMEOUT_MILLIS, nowMillis - 700)));
        assertThat(router.outputs(RouterOutput.Refuse.class))
                .extracting(RouterOutput.Refuse::code)
                .containsExactly(ResultCode.VM_OVERLOADED, ResultCode.VM_OVERLOADED);
        assertThat(router.outputs(RouterOutput.Refuse.class))
                .extracting(RouterOutput.Refuse::runState)
                .containsOnly(RunState.NOT_RUN);
        assertThat(router.outputs(RouterOutput.ToKeeper.class)).isEmpty();
    }

    /**
     * Guards against streams that are cut before their callers' time, as a late VM dated them back.
     */
    @Test
    void aBegunAnswerLastsUntilTheLatestTimeAtWhichItsCallerMayLeave() {
        RouterHarness router = new RouterHarness().endpoints("one");
        router.receive(
                new RouterInput.ConfigurationReceived(
                        new Configuration(1, List.of(), List.of(ROUTE))));
        long nowMillis = router.nowMillis();
        long waitedMillis = 120;
        router.receive(
                new RouterInput.CallArrived(
                        call(TIMEOUT_MILLIS, nowMillis - waitedMillis, nowMillis, nowMillis)));
        router.receiveToken(
                router.lastOutput(RouterOutput.StartAttempt.class).orElseThrow().attempt(), 0);
        router.advance(TIMEOUT_MILLIS - 1);
        assertThat(router.outputs(RouterOutput.Refuse.class)).isEmpty();
        router.advance(1);
        assertThat(router.outputs(RouterOutput.Refuse.class))
                .extracting(RouterOutput.Refuse::code)
                .containsExactly(ResultCode.DEADLINE_EXCEEDED);
    }

    private static Optional<ResultCode> refusal(long timeoutMillis, long waitedMillis) {
        return LateArrival.findRefusal(call(timeoutMillis, 0), OPTIONS, waitedMillis);
    }

    private static Call call(long timeoutMillis, long arrivedMillis) {
        return call(timeoutMillis, arrivedMillis, arrivedMillis);
    }

    private static Call call(long timeoutMillis, long arrivedMillis, long completedMillis) {
        return call(timeoutMillis, arrivedMillis, arrivedMillis, completedMillis);
    }

    private static Call call(
            long timeoutMillis, long arrivedMillis, long headReadMillis, long completedMillis) {
        return new Call(
                RequestId.of("request-" + arrivedMillis),
                RequestKey.of(arrivedMillis, 1),
                "host",
                "/chat/1",
                Optional.empty(),
                100,
                50,
                0,
                0,
                List.of(),
                "fingerprint-" + arrivedMillis,
                arrivedMillis,
                headReadMillis,
                completedMillis,
                timeoutMillis);
    }
}
