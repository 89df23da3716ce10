package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.RouterOutput.DeliverServiceAnswer;
import org.bramleylatch.core.RouterOutput.DeliverTokens;
import org.bramleylatch.core.RouterOutput.Refuse;
import org.bramleylatch.core.RouterOutput.StartAttempt;
import org.junit.jupiter.api.Test;

class CallResolverTest {
    private static final String HOST = "ropes.example";
    private static final Optional<String> API_KEY_DIGEST = Optional.of("digest");
    private static final Incarnation LENDER = Incarnation.of("keeper@front-2-1");
    private static final Incarnation OTHER_LENDER = Incarnation.of("keeper@front-3-1");
    private static final RouterLimits LIMITS = RouterLimits.colocatedWithKeeper(8, 0, 10_000);

    private boolean billsUnansweredPrompt = true;
    private final RouterHarness router = new RouterHarness(Placement.bySharedPrefix(), LIMITS);

    @Test
    void aCallIsRefusedAsNotConfiguredUntilAConfigurationIsRead() {
        router.call(HOST, "/spec/1", API_KEY_DIGEST, 10, 10);
        assertThat(refusals()).containsExactly(ResultCode.NOT_CONFIGURED);
    }

    @Test
    void theLongestMatchingPathPrefixOfTheHostSelectsTheRoute() {
        configure(
                route("all", "/", "seilhelfer", false),
                route("orders", "/orders/", "ordnerei", true));
        router.endpoints("ordnerei-1");
        router.call(HOST, "/orders/7", API_KEY_DIGEST, 0, 0);
        assertThat(router.lastOutput(StartAttempt.class).map(StartAttempt::endpoint))
                .contains(EndpointId.of("ordnerei-1"));
        router.call("other.example", "/orders/7", API_KEY_DIGEST, 0, 0);
        assertThat(refusals()).containsExactly(ResultCode.UNKNOWN_ROUTE);
    }

    @Test
    void aCallWithAnUnknownOrMissingKeyIsRefusedOnARouteThatRequiresAKey() {
        configure(route("orders", "/orders/", "ordnerei", true));
        router.call(HOST, "/orders/7", Optional.of("revoked"), 0, 0);
        router.call(HOST, "/orders/7", Optional.empty(), 0, 0);
        assertThat(refusals())
                .containsExactly(ResultCode.UNAUTHENTICATED, ResultCode.UNAUTHENTICATED);
    }

    /** Guards against a fleet that is open to all callers once the last key is taken away. */
    @Test
    void aCallIsRefusedAsWithAnUnknownKeyOnceNoMemberHasAKey() {
        configure(route("orders", "/orders/", "ordnerei", true));
        router.endpoints("ordnerei-1");
        router.receive(
                new RouterInput.ConfigurationReceived(
                        new Configuration(8, List.of(), router.world.configuration().routes())));
        router.call(HOST, "/orders/7", API_KEY_DIGEST, 0, 0);
        router.call(HOST, "/orders/7", Optional.empty(), 0, 0);
        assertThat(refusals())
                .containsExactly(ResultCode.UNAUTHENTICATED, ResultCode.UNAUTHENTICATED);
    }

    @Test
    void anOlderConfigurationDoesNotReplaceANewerOne() {
        configure(route("orders", "/orders/", "ordnerei", true));
        router.receive(
                new RouterInput.ConfigurationReceived(new Configuration(6, members(), List.of())));
        assertThat(router.world.configuration().revision()).isEqualTo(7);
    }

    @Test
    void aRequestThatAnEndpointRefusedToRunIsRetriedElsewhere() {
        configure(route("orders", "/orders/", "ordnerei", false));
        router.endpoints("ordnerei-1", "ordnerei-2");
        router.call(HOST, "/orders/7", API_KEY_DIGEST, 0, 0);
        AttemptId first = router.lastOutput(StartAttempt.class).orElseThrow().attempt();
        router.receive(new RouterInput.AttemptFailed(first, RunState.NOT_RUN, "full"));
        assertThat(router.outputs(StartAttempt.class)).hasSize(2);
        assertThat(router.outputs(Refuse.class)).isEmpty();
    }

    @Test
    void aNonRepeatableRequestIsNotRetriedAfterItMayHaveRun() {
        configure(route("orders", "/orders/", "ordnerei", false));
        router.endpoints("ordnerei-1", "ordnerei-2");
        router.call(HOST, "/orders/7", API_KEY_DIGEST, 0, 0);
        AttemptId first = router.lastOutput(StartAttempt.class).orElseThrow().attempt();
        router.receive(new RouterInput.AttemptFailed(first, RunState.UNKNOWN, "reset"));
        assertThat(router.outputs(StartAttempt.class)).hasSize(1);
        assertThat(router.lastOutput(Refuse.class).map(Refuse::runState))
                .contains(RunState.UNKNOWN);
    }

    @Test
    void aServerErrorIsPassedToTheCallerOnceRetriesAreUsedUp() {
        configure(route("stock", "/stock/", "ordnerei", true));
        router.endpoints("ordnerei-1", "ordnerei-2");
        router.call(HOST, "/stock/7", API_KEY_DIGEST, 0, 0);
        AttemptId first = router.lastOutput(StartAttempt.class).orElseThrow().attempt();
        router.receive(new RouterInput.ServiceAnswered(first, 500, "no"));
        AttemptId second = router.lastOutput(StartAttempt.class).orElseThrow().attempt();
        assertThat(second).isNotEqualTo(first);
        router.receive(new RouterInput.ServiceAnswered(second, 500, "no"));
        assertThat(router.lastOutput(DeliverServiceAnswer.class).map(DeliverServiceAnswer::status))
                .contains(500);
    }

    @Test
    void aRepeatableRequestIsRetriedAtTheOnlyEndpointAfterItFailed() {
        configure(route("stock", "/stock/", "ordnerei", true));
        router.endpoints("ordnerei-1");
        router.call(HOST, "/stock/7", API_KEY_DIGEST, 0, 0);
        AttemptId first = router.lastOutput(StartAttempt.class).orElseThrow().attempt();
        router.receive(new RouterInput.ServiceAnswered(first, 500, "no"));
        AttemptId second = router.lastOutput(StartAttempt.class).orElseThrow().attempt();
        assertThat(second).isNotEqualTo(first);
        router.receive(new RouterInput.ServiceAnswered(second, 200, "12 bales"));
        assertThat(router.lastOutput(DeliverServiceAnswer.class).map(DeliverServiceAnswer::status))
                .contains(200);
    }

    @Test
    void aBrokenStreamIsResumedAtAnotherEndpoint() {
        AttemptId first = startStream();
        EndpointId originalEndpoint =
                router.lastOutput(StartAttempt.class).orElseThrow().endpoint();
        router.receiveToken(first, 0);
        router.receive(new RouterInput.AttemptFailed(first, RunState.UNKNOWN, "reset"));
        StartAttempt second = router.lastOutput(StartAttempt.class).orElseThrow();
        assertThat(second.endpoint()).isNotEqualTo(originalEndpoint);
        assertThat(second.position()).isEqualTo(1);
        router.receiveToken(second.attempt(), 1);
        assertThat(router.outputs(DeliverTokens.class)).hasSize(2);
    }

    @Test
    void aRequestThatMayHaveRunIsBilledForItsPrompt() {
        AttemptId first = startStream();
        router.receive(new RouterInput.AttemptFailed(first, RunState.UNKNOWN, "reset"));
        AttemptId second = router.lastOutput(StartAttempt.class).orElseThrow().attempt();
        router.receive(new RouterInput.AttemptFailed(second, RunState.UNKNOWN, "reset"));
        assertThat(router.messagesToKeepers(KeeperInput.UsageSubmitted.class))
                .extracting(given -> given.usage().tokens())
                .containsExactly(100L);
    }

    @Test
    void anUnansweredPromptIsFreeOnARouteThatBillsOnlyDeliveredAnswers() {
        billsUnansweredPrompt = false;
        AttemptId first = startStream();
        router.receive(new RouterInput.AttemptFailed(first, RunState.UNKNOWN, "reset"));
        AttemptId second = router.lastOutput(StartAttempt.class).orElseThrow().attempt();
        router.receive(new RouterInput.AttemptFailed(second, RunState.UNKNOWN, "reset"));
        assertThat(router.messagesToKeepers(KeeperInput.UsageSubmitted.class)).isEmpty();
        assertThat(router.messagesToKeepers(KeeperInput.ReservationReleased.class)).hasSize(1);
    }

    @Test
    void aRequestWhoseKeeperLacksTokensGetsThemFromAnotherKeeper() {
        RequestKey key = callRefusedForLackOfTokens(List.of(LENDER, OTHER_LENDER));
        assertThat(lastReserveAsk().keeper()).isEqualTo(LENDER);
        router.receive(new RouterInput.ReserveRefused(LENDER, key, ResultCode.BUDGET_UNAVAILABLE));
        assertThat(lastReserveAsk().keeper()).isEqualTo(OTHER_LENDER);
        GrantKey grant = GrantKey.of(RouterHarness.BUDGET, OTHER_LENDER);
        router.receive(new RouterInput.ReserveGranted(OTHER_LENDER, key, grant));
        assertThat(router.outputs(StartAttempt.class)).hasSize(1);
    }

    @Test
    void aLenderThatDoesNotAnswerInTimeIsSkipped() {
        callRefusedForLackOfTokens(List.of(LENDER, OTHER_LENDER));
        router.advance(LIMITS.lenderTimeoutMillis());
        assertThat(lastReserveAsk().keeper()).isEqualTo(OTHER_LENDER);
        router.advance(LIMITS.lenderTimeoutMillis());
        assertThat(refusals()).containsExactly(ResultCode.BUDGET_UNAVAILABLE);
    }

    @Test
    void aRouterWhoseKeeperCannotReadTheLogAsksAnotherConnectedKeeper() {
        Incarnation other = Incarnation.of("keeper@front-2-second");
        RequestKey key = callRefusedForLackOfTokens(List.of());
        router.receive(new RouterInput.KeeperUp(other));
        router.call(HOST, "/chat/8", API_KEY_DIGEST, 100, 50);
        router.receive(
                new RouterInput.ReserveRefused(
                        RouterHarness.KEEPER,
                        lastReservedKey(),
                        ResultCode.LOG_UNAVAILABLE,
                        List.of()));
        assertThat(lastReserveAsk().keeper()).isEqualTo(other);
        assertThat(lastReservedKey()).isNotEqualTo(key);
    }

    private AttemptId startStream() {
        configure(route("chat", "/chat/", "seilhelfer", true));
        router.endpoints("engine-1", "engine-2");
        router.receive(new RouterInput.LocalKeeperUp(RouterHarness.KEEPER));
        router.call(HOST, "/chat/7", API_KEY_DIGEST, 100, 50);
        router.receive(
                new RouterInput.ReserveGranted(
                        RouterHarness.KEEPER, lastReservedKey(), RouterHarness.GRANT));
        return router.lastOutput(StartAttempt.class).orElseThrow().attempt();
    }

    private RequestKey callRefusedForLackOfTokens(List<Incarnation> lenders) {
        configure(route("chat", "/chat/", "seilhelfer", true));
        router.endpoints("engine-1");
        router.receive(new RouterInput.LocalKeeperUp(RouterHarness.KEEPER));
        lenders.forEach(lender -> router.receive(new RouterInput.KeeperUp(lender)));
        router.call(HOST, "/chat/7", API_KEY_DIGEST, 100, 50);
        RequestKey key = lastReservedKey();
        router.receive(
                new RouterInput.ReserveRefused(
                        RouterHarness.KEEPER, key, ResultCode.BUDGET_UNAVAILABLE, lenders));
        return key;
    }

    private RequestKey lastReservedKey() {
        List<KeeperInput.ReserveAsked> asks =
                router.messagesToKeepers(KeeperInput.ReserveAsked.class);
        return asks.get(asks.size() - 1).key();
    }

    private RouterOutput.ToKeeper lastReserveAsk() {
        return router.outputs(RouterOutput.ToKeeper.class).stream()
                .filter(to -> to.message() instanceof KeeperInput.ReserveAsked)
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    private List<ResultCode> refusals() {
        return router.outputs(Refuse.class).stream().map(Refuse::code).toList();
    }

    private void configure(RouteRow... routes) {
        router.receive(
                new RouterInput.ConfigurationReceived(
                        new Configuration(7, members(), List.of(routes))));
        router.receive(new RouterInput.ConfigurationConfirmed(router.nowMillis()));
    }

    private static List<MemberRow> members() {
        return List.of(new MemberRow("digest", RouterHarness.BUDGET, "workspace"));
    }

    private RouteRow route(String name, String prefix, String backEnd, boolean repeatable) {
        RouteOptions options =
                new RouteOptions(
                        Optional.of(HOST),
                        false,
                        false,
                        true,
                        true,
                        billsUnansweredPrompt,
                        2,
                        0,
                        0,
                        400,
                        List.of());
        return new RouteRow(
                RouteName.of(name),
                backEnd.equals("ordnerei") ? RouteKind.SERVICE : RouteKind.CHAT,
                prefix,
                backEnd,
                repeatable,
                0,
                List.of(),
                Optional.of(options));
    }
}
