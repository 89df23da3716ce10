package org.bramleylatch.gateway;

import java.util.function.Consumer;
import org.bramleylatch.core.Dispatch;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.edge.KeeperConnections;
import org.bramleylatch.edge.KeeperMessageTranslation;
import org.bramleylatch.edge.RouterConnections;

/** Sends messages between routers and keepers, to those of this process without a connection. */
final class PeerMessages {
    private final Incarnation router;
    private final Incarnation keeper;
    private final Dispatch<KeeperOutput, RouterInput> replyTranslation;
    private final Consumer<RouterInput> routerInbox;
    private final Consumer<KeeperInput> keeperInbox;
    private final RouterConnections routerConnections;
    private final KeeperConnections keeperConnections;

    /**
     * Creates the senders of a process.
     *
     * @param routerInbox receives what the keeper of this process tells its router
     * @param keeperInbox receives what the router of this process tells its keeper
     */
    PeerMessages(
            Incarnation router,
            Incarnation keeper,
            Consumer<RouterInput> routerInbox,
            Consumer<KeeperInput> keeperInbox,
            RouterConnections routerConnections,
            KeeperConnections keeperConnections) {
        this.router = router;
        this.keeper = keeper;
        this.replyTranslation = KeeperMessageTranslation.of(keeper);
        this.routerInbox = routerInbox;
        this.keeperInbox = keeperInbox;
        this.routerConnections = routerConnections;
        this.keeperConnections = keeperConnections;
    }

    void sendToRouter(KeeperOutput.ToRouter reply) {
        if (reply.router().equals(router)) {
            routerInbox.accept(replyTranslation.apply(reply));
        } else {
            routerConnections.send(reply);
        }
    }

    void sendToKeeper(RouterOutput.ToKeeper output) {
        if (output.keeper().equals(keeper)) {
            keeperInbox.accept(output.message());
        } else {
            keeperConnections.send(output);
        }
    }
}
