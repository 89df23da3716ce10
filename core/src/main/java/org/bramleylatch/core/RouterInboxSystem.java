package org.bramleylatch.core;

import org.bramleylatch.core.RouterInput.AnswerEnded;
import org.bramleylatch.core.RouterInput.AttemptFailed;
import org.bramleylatch.core.RouterInput.BrittleRefusal;
import org.bramleylatch.core.RouterInput.CallArrived;
import org.bramleylatch.core.RouterInput.CallerDisconnected;
import org.bramleylatch.core.RouterInput.CallerPaused;
import org.bramleylatch.core.RouterInput.ConfigurationConfirmed;
import org.bramleylatch.core.RouterInput.ConfigurationReceived;
import org.bramleylatch.core.RouterInput.EndpointAnnounced;
import org.bramleylatch.core.RouterInput.EndpointLeaving;
import org.bramleylatch.core.RouterInput.EndpointPaused;
import org.bramleylatch.core.RouterInput.EndpointProbed;
import org.bramleylatch.core.RouterInput.EndpointReplaced;
import org.bramleylatch.core.RouterInput.EndpointReported;
import org.bramleylatch.core.RouterInput.EndpointWithdrawn;
import org.bramleylatch.core.RouterInput.EndpointsListed;
import org.bramleylatch.core.RouterInput.IntentLost;
import org.bramleylatch.core.RouterInput.IntentRefused;
import org.bramleylatch.core.RouterInput.IntentWon;
import org.bramleylatch.core.RouterInput.KeeperDown;
import org.bramleylatch.core.RouterInput.KeeperUp;
import org.bramleylatch.core.RouterInput.LoadMeasured;
import org.bramleylatch.core.RouterInput.LocalKeeperUp;
import org.bramleylatch.core.RouterInput.MoveChanged;
import org.bramleylatch.core.RouterInput.OutputFailed;
import org.bramleylatch.core.RouterInput.PathProbed;
import org.bramleylatch.core.RouterInput.RateLimitObserved;
import org.bramleylatch.core.RouterInput.RegistryReachabilityReported;
import org.bramleylatch.core.RouterInput.ReportReceived;
import org.bramleylatch.core.RouterInput.RequestArrived;
import org.bramleylatch.core.RouterInput.ReserveGranted;
import org.bramleylatch.core.RouterInput.ReserveRefused;
import org.bramleylatch.core.RouterInput.RolloutOrdered;
import org.bramleylatch.core.RouterInput.RoutersCounted;
import org.bramleylatch.core.RouterInput.ServiceAnswered;
import org.bramleylatch.core.RouterInput.StopAsked;
import org.bramleylatch.core.RouterInput.StopTimeReached;
import org.bramleylatch.core.RouterInput.TokensArrived;
import org.bramleylatch.core.RouterInput.UsageDurable;
import org.bramleylatch.core.RouterInput.UsageHeld;
import org.bramleylatch.core.RouterInput.VmsAnnounced;

/** Passes each message of the inbox to its handler, which updates the router's tables. */
record RouterInboxSystem(RouterLimits limits, FailureHandler failures)
        implements TickSystem<RouterWorld> {
    /** Messages beyond this number stay in the inbox until the next tick. */
    private static final int MAX_MESSAGES_PER_TICK = 4_000;

    private static final TickDispatch<RouterTick, RouterInput> HANDLERS = TickDispatch.empty();

    private static final TickDispatch<RouterTick, RouterReport> REPORT_HANDLERS =
            TickDispatch.<RouterTick, RouterReport>empty()
                    .on(CrashEvidence.class, (tick, r) -> tick.crashes().applyEvidence(r))
                    .on(LimitReport.class, (tick, r) -> tick.rateLimits().applyReport(r));

    static {
        addRequestHandlers();
        addAnswerHandlers();
        addEndpointHandlers();
        addFleetHandlers();
    }

    @Override
    public void run(RouterWorld world, long nowMillis) {
        if (world.inbox().isEmpty()) {
            return;
        }
        RouterTick tick = new RouterTick(world, limits, nowMillis);
        world.inbox()
                .take(MAX_MESSAGES_PER_TICK)
                .forEach(refusingArrivals(world).guard(message -> HANDLERS.apply(tick, message)));
    }

    /** Returns a handler that refuses an arrival that failed, as its caller has no other owner. */
    private FailureHandler refusingArrivals(RouterWorld world) {
        return (message, failure) -> {
            if (message instanceof CallArrived arrived) {
                refuseArrival(world, arrived.call().id());
            } else if (message instanceof RequestArrived arrived) {
                refuseArrival(world, arrived.spec().id());
            }
            failures.handle(message, failure);
        };
    }

    private static void refuseArrival(RouterWorld world, RequestId id) {
        String detail = "request could not be admitted";
        world.requests()
                .find(id)
                .ifPresentOrElse(
                        row -> RequestCompletion.refuse(world, row, ResultCode.INTERNAL, detail),
                        () ->
                                world.send(
                                        new RouterOutput.Refuse(
                                                id,
                                                ResultCode.INTERNAL,
                                                RunState.NOT_RUN,
                                                detail)));
    }

    private static void addRequestHandlers() {
        HANDLERS.on(CallArrived.class, (tick, m) -> tick.calls().resolve(m))
                .on(RequestArrived.class, (tick, m) -> tick.admission().admit(m))
                .on(ReserveGranted.class, (tick, m) -> tick.admission().acceptGrant(m))
                .on(ReserveRefused.class, (tick, m) -> tick.admission().handleReserveRefusal(m))
                .on(IntentWon.class, (tick, m) -> tick.admission().queueClaimed(m))
                .on(IntentLost.class, (tick, m) -> tick.admission().answerLostClaim(m))
                .on(IntentRefused.class, (tick, m) -> tick.admission().refuseUnclaimed(m));
    }

    private static void addAnswerHandlers() {
        HANDLERS.on(TokensArrived.class, (tick, m) -> tick.answers().deliverTokens(m))
                .on(AnswerEnded.class, (tick, m) -> tick.answers().endAnswer(m))
                .on(ServiceAnswered.class, (tick, m) -> tick.answers().deliverServiceAnswer(m))
                .on(AttemptFailed.class, (tick, m) -> tick.answers().failAttempt(m))
                .on(CallerPaused.class, (tick, m) -> tick.answers().pauseOrResume(m))
                .on(CallerDisconnected.class, (tick, m) -> tick.answers().abandon(m))
                .on(OutputFailed.class, (tick, m) -> tick.failedOutputs().handle(m))
                .on(UsageHeld.class, (tick, m) -> Settlements.finishAnswer(tick.world(), m.key()))
                .on(UsageDurable.class, (tick, m) -> Settlements.close(tick.world(), m.key()));
    }

    private static void addEndpointHandlers() {
        HANDLERS.on(EndpointAnnounced.class, (tick, m) -> tick.registry().applyAnnouncement(m))
                .on(EndpointWithdrawn.class, (tick, m) -> tick.registry().applyWithdrawal(m))
                .on(EndpointReplaced.class, (tick, m) -> tick.registry().remove(m.endpoint()))
                .on(
                        RegistryReachabilityReported.class,
                        (tick, m) -> tick.registry().applyReachability(m))
                .on(EndpointProbed.class, (tick, m) -> tick.silences().applyProbe(m))
                .on(PathProbed.class, (tick, m) -> tick.silences().applyPathProbe(m))
                .on(EndpointLeaving.class, (tick, m) -> tick.signals().applyLeaving(m))
                .on(EndpointPaused.class, (tick, m) -> tick.signals().applyPause(m))
                .on(BrittleRefusal.class, (tick, m) -> tick.signals().applyBrittleRefusal(m))
                .on(RateLimitObserved.class, (tick, m) -> tick.rateLimits().applyObservation(m));
    }

    private static void addFleetHandlers() {
        HANDLERS.on(ConfigurationReceived.class, (tick, m) -> tick.fleet().applyConfiguration(m))
                .on(ConfigurationConfirmed.class, (tick, m) -> tick.fleet().confirmConfiguration(m))
                .on(LoadMeasured.class, (tick, m) -> tick.fleet().applyLoad(m))
                .on(EndpointsListed.class, (tick, m) -> tick.fleet().applyListing(m))
                .on(EndpointReported.class, (tick, m) -> tick.fleet().applyReport(m))
                .on(KeeperUp.class, (tick, m) -> tick.fleet().addKeeper(m))
                .on(LocalKeeperUp.class, (tick, m) -> tick.fleet().setLocalKeeper(m))
                .on(RoutersCounted.class, (tick, m) -> tick.fleet().raiseRouterCount(m))
                .on(VmsAnnounced.class, (tick, m) -> tick.fleet().applyVms(m))
                .on(KeeperDown.class, (tick, m) -> tick.fleet().removeKeeper(m))
                .on(MoveChanged.class, (tick, m) -> tick.fleet().applyMove(m))
                .on(ReportReceived.class, RouterInboxSystem::applyReport)
                .on(
                        RolloutOrdered.class,
                        (tick, m) -> RolloutSystem.apply(tick.world(), m.order(), tick.nowMillis()))
                .on(StopAsked.class, (tick, m) -> tick.fleet().beginStop())
                .on(StopTimeReached.class, (tick, m) -> tick.fleet().endOpenRequests());
    }

    private static boolean applyReport(RouterTick tick, ReportReceived received) {
        REPORT_HANDLERS.apply(tick, received.report());
        return true;
    }
}
