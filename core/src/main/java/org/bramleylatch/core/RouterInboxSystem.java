package org.bramleylatch.core;

import org.bramleylatch.core.RouterInput.AnswerEnded;
import org.bramleylatch.core.RouterInput.AttemptFailed;
import org.bramleylatch.core.RouterInput.CallArrived;
import org.bramleylatch.core.RouterInput.CallerDisconnected;
import org.bramleylatch.core.RouterInput.CallerPaused;
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
import org.bramleylatch.core.RouterInput.LocalKeeperUp;
import org.bramleylatch.core.RouterInput.MoveChanged;
import org.bramleylatch.core.RouterInput.OutputFailed;
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

    @Override
    public void run(RouterWorld world, long nowMillis) {
        if (world.inbox().isEmpty()) {
            return;
        }
        Dispatch<RouterInput, Boolean> handlers = Dispatch.empty();
        addRequestHandlers(handlers, world, nowMillis);
        addAnswerHandlers(handlers, world, nowMillis);
        addEndpointHandlers(handlers, world, nowMillis);
        addFleetHandlers(handlers, world, nowMillis);
        world.inbox()
                .take(MAX_MESSAGES_PER_TICK)
                .forEach(refusingArrivals(world).guard(handlers::apply));
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

    private void addRequestHandlers(
            Dispatch<RouterInput, Boolean> handlers, RouterWorld world, long nowMillis) {
        Admission admission = new Admission(world, limits, nowMillis);
        handlers.on(CallArrived.class, new CallResolver(world, admission, nowMillis)::resolve)
                .on(RequestArrived.class, admission::admit)
                .on(ReserveGranted.class, admission::acceptGrant)
                .on(ReserveRefused.class, admission::handleReserveRefusal)
                .on(IntentWon.class, admission::queueClaimed)
                .on(IntentLost.class, admission::answerLostClaim)
                .on(IntentRefused.class, admission::refuseUnclaimed);
    }

    private void addAnswerHandlers(
            Dispatch<RouterInput, Boolean> handlers, RouterWorld world, long nowMillis) {
        AnswerRelay answers = new AnswerRelay(world, limits, nowMillis);
        handlers.on(TokensArrived.class, answers::deliverTokens)
                .on(AnswerEnded.class, answers::endAnswer)
                .on(ServiceAnswered.class, answers::deliverServiceAnswer)
                .on(AttemptFailed.class, answers::failAttempt)
                .on(CallerPaused.class, answers::pauseOrResume)
                .on(CallerDisconnected.class, answers::abandon)
                .on(
                        OutputFailed.class,
                        new FailedOutputs(world, answers, new Admission(world, limits, nowMillis))
                                ::handle)
                .on(UsageHeld.class, usage -> Settlements.finishAnswer(world, usage.key()))
                .on(UsageDurable.class, usage -> Settlements.close(world, usage.key()));
    }

    private void addEndpointHandlers(
            Dispatch<RouterInput, Boolean> handlers, RouterWorld world, long nowMillis) {
        RegistryUpdates registry = new RegistryUpdates(world, limits, nowMillis);
        EndpointSignals signals = new EndpointSignals(world, nowMillis);
        handlers.on(EndpointAnnounced.class, registry::applyAnnouncement)
                .on(EndpointWithdrawn.class, registry::applyWithdrawal)
                .on(EndpointReplaced.class, replaced -> registry.remove(replaced.endpoint()))
                .on(RegistryReachabilityReported.class, registry::applyReachability)
                .on(
                        EndpointProbed.class,
                        new SilenceDetection(world, limits, nowMillis)::applyProbe)
                .on(EndpointLeaving.class, signals::applyLeaving)
                .on(EndpointPaused.class, signals::applyPause)
                .on(RateLimitObserved.class, new RateLimits(world, nowMillis)::applyObservation);
    }

    private void addFleetHandlers(
            Dispatch<RouterInput, Boolean> handlers, RouterWorld world, long nowMillis) {
        FleetUpdates fleet = new FleetUpdates(world, limits, nowMillis);
        Dispatch<RouterReport, Boolean> reportHandlers =
                Dispatch.<RouterReport, Boolean>empty()
                        .on(
                                CrashEvidence.class,
                                new CrashDetection(world, nowMillis)::applyEvidence)
                        .on(LimitReport.class, new RateLimits(world, nowMillis)::applyReport);
        handlers.on(ConfigurationReceived.class, fleet::applyConfiguration)
                .on(EndpointsListed.class, fleet::applyListing)
                .on(EndpointReported.class, fleet::applyReport)
                .on(KeeperUp.class, fleet::addKeeper)
                .on(LocalKeeperUp.class, fleet::setLocalKeeper)
                .on(RoutersCounted.class, fleet::raiseRouterCount)
                .on(VmsAnnounced.class, fleet::applyVms)
                .on(KeeperDown.class, fleet::removeKeeper)
                .on(MoveChanged.class, fleet::applyMove)
                .on(ReportReceived.class, received -> reportHandlers.apply(received.report()))
                .on(
                        RolloutOrdered.class,
                        ordered -> RolloutSystem.apply(world, ordered.order(), nowMillis))
                .on(StopAsked.class, message -> fleet.beginStop())
                .on(StopTimeReached.class, message -> fleet.endOpenRequests());
    }
}
