package org.bramleylatch.core;

import org.bramleylatch.core.RouterInput.AnswerEnded;
import org.bramleylatch.core.RouterInput.AttemptFailed;
import org.bramleylatch.core.RouterInput.CallArrived;
import org.bramleylatch.core.RouterInput.CallerGone;
import org.bramleylatch.core.RouterInput.CallerPaused;
import org.bramleylatch.core.RouterInput.ConfigurationSeen;
import org.bramleylatch.core.RouterInput.EndpointAnnounced;
import org.bramleylatch.core.RouterInput.EndpointReplaced;
import org.bramleylatch.core.RouterInput.EndpointReported;
import org.bramleylatch.core.RouterInput.EndpointWithdrawn;
import org.bramleylatch.core.RouterInput.EndpointsListed;
import org.bramleylatch.core.RouterInput.IntentLost;
import org.bramleylatch.core.RouterInput.IntentRefused;
import org.bramleylatch.core.RouterInput.IntentWon;
import org.bramleylatch.core.RouterInput.KeeperBeside;
import org.bramleylatch.core.RouterInput.KeeperDown;
import org.bramleylatch.core.RouterInput.KeeperUp;
import org.bramleylatch.core.RouterInput.MoveChanged;
import org.bramleylatch.core.RouterInput.RegistrySeen;
import org.bramleylatch.core.RouterInput.RequestArrived;
import org.bramleylatch.core.RouterInput.ReserveGranted;
import org.bramleylatch.core.RouterInput.ReserveRefused;
import org.bramleylatch.core.RouterInput.RoutersKnown;
import org.bramleylatch.core.RouterInput.ServiceAnswered;
import org.bramleylatch.core.RouterInput.StopAsked;
import org.bramleylatch.core.RouterInput.TokensArrived;
import org.bramleylatch.core.RouterInput.UsageDurable;
import org.bramleylatch.core.RouterInput.UsageHeld;

/** Puts what arrived into the router's tables. */
record RouterInbox(RouterLimits limits) implements TickSystem<RouterWorld> {
    private static final int MOST_MESSAGES = 4_000;

    @Override
    public void run(RouterWorld world, long nowMillis) {
        if (world.inbox().isEmpty()) {
            return;
        }
        Admission admission = new Admission(world, limits, nowMillis);
        Answers answers = new Answers(world, limits, nowMillis);
        RouterView view = new RouterView(world, limits, nowMillis);
        CallSystem calls = new CallSystem(world, admission);
        RegistryView registry = new RegistryView(world, limits, nowMillis);
        Dispatch<RouterInput, Boolean> table = Dispatch.empty();
        table.on(CallArrived.class, calls::resolve)
                .on(EndpointAnnounced.class, registry::announce)
                .on(EndpointWithdrawn.class, registry::withdraw)
                .on(EndpointReplaced.class, replaced -> registry.remove(replaced.endpoint()))
                .on(RegistrySeen.class, registry::see);
        table.on(RequestArrived.class, admission::admit)
                .on(ReserveGranted.class, admission::reserved)
                .on(ReserveRefused.class, admission::refused)
                .on(IntentWon.class, admission::claimed)
                .on(IntentLost.class, admission::lost)
                .on(IntentRefused.class, admission::unclaimed);
        table.on(TokensArrived.class, answers::deliver)
                .on(AnswerEnded.class, answers::end)
                .on(ServiceAnswered.class, answers::answer)
                .on(AttemptFailed.class, answers::fail)
                .on(CallerPaused.class, answers::pause)
                .on(CallerGone.class, answers::abandon)
                .on(UsageHeld.class, held -> Settlements.held(world, held.key()))
                .on(UsageDurable.class, done -> Settlements.durable(world, done.key()));
        table.on(ConfigurationSeen.class, view::configure)
                .on(EndpointsListed.class, view::list)
                .on(EndpointReported.class, view::report)
                .on(KeeperUp.class, view::keeperUp)
                .on(KeeperBeside.class, view::keeperBeside)
                .on(RoutersKnown.class, view::routersKnown)
                .on(KeeperDown.class, view::keeperDown)
                .on(MoveChanged.class, view::move)
                .on(StopAsked.class, message -> view.stop());
        world.inbox().take(MOST_MESSAGES).forEach(table::apply);
    }
}
