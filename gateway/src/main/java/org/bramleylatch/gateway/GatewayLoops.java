package org.bramleylatch.gateway;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.function.Consumer;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.GrantPolicy;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperLimits;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.KeeperSystems;
import org.bramleylatch.core.KeeperWorld;
import org.bramleylatch.core.Placement;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.core.RouterSystems;
import org.bramleylatch.core.RouterWorld;
import org.bramleylatch.edge.FailureLog;
import org.bramleylatch.edge.MonotonicClock;
import org.bramleylatch.edge.RandomIds;
import org.bramleylatch.edge.TickLoop;
import org.bramleylatch.platform.BootFile;

/**
 * Creates the tick loops of a router and of the keeper beside it, which share an event loop.
 *
 * @param context the event loop that both run on
 */
record GatewayLoops(
        Vertx vertx,
        Context context,
        MonotonicClock clock,
        BootFile boot,
        GatewaySettings settings) {

    /** Creates the router's loop; an output that throws goes back to the router. */
    TickLoop<RouterInput, RouterOutput, RouterWorld> router(
            Incarnation router, Consumer<RouterOutput> outputs) {
        return new TickLoop<>(
                vertx,
                context,
                clock,
                RouterWorld.of(router, boot.zone(), () -> AttemptId.of(RandomIds.hexId())),
                RouterSystems.schedule(
                        Placement.bySharedPrefix(),
                        RetryShare.routerLimits(boot.limits()),
                        FailureLog.handler()),
                outputs,
                (output, detail) -> Optional.of(new RouterInput.OutputFailed(output, detail)));
    }

    /** Creates the keeper's loop. */
    TickLoop<KeeperInput, KeeperOutput, KeeperWorld> keeper(
            Incarnation keeper, Consumer<KeeperOutput> outputs) {
        GrantPolicy policy =
                GrantPolicy.byShortTermDemand(
                        settings.grantHorizonMillis(), settings.smallestGrantTokens());
        return new TickLoop<>(
                vertx,
                context,
                clock,
                KeeperWorld.of(keeper),
                KeeperSystems.schedule(
                        policy,
                        KeeperLimits.colocatedWithRouter(boot.logRetentionMillis()),
                        FailureLog.handler()),
                outputs,
                (output, detail) -> Optional.empty());
    }
}
