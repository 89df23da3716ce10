package org.bramleylatch.edge;

import org.bramleylatch.core.Dispatch;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.RouterInput;

/** Translates the messages of a keeper into inputs of a router. */
public final class KeeperMessageTranslation {

    private KeeperMessageTranslation() {}

    /** Creates the translation for one keeper, whose id it adds where the router needs it. */
    public static Dispatch<KeeperOutput, RouterInput> of(Incarnation keeper) {
        return Dispatch.<KeeperOutput, RouterInput>empty()
                .on(
                        KeeperOutput.ReserveGranted.class,
                        m -> new RouterInput.ReserveGranted(keeper, m.key(), m.grant()))
                .on(
                        KeeperOutput.ReserveRefused.class,
                        m -> new RouterInput.ReserveRefused(keeper, m.key(), m.code(), m.lenders()))
                .on(KeeperOutput.UsageHeld.class, m -> new RouterInput.UsageHeld(m.key()))
                .on(KeeperOutput.UsageDurable.class, m -> new RouterInput.UsageDurable(m.key()))
                .on(KeeperOutput.IntentWon.class, m -> new RouterInput.IntentWon(m.key()))
                .on(KeeperOutput.IntentLost.class, m -> new RouterInput.IntentLost(m.winner()))
                .on(KeeperOutput.MoveChanged.class, m -> new RouterInput.MoveChanged(m.move()))
                .on(
                        KeeperOutput.ReportRelayed.class,
                        m -> new RouterInput.ReportReceived(m.report()))
                .on(
                        KeeperOutput.IntentRefused.class,
                        m -> new RouterInput.IntentRefused(m.key(), m.code()));
    }
}
