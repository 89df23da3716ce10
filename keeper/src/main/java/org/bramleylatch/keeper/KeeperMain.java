package org.bramleylatch.keeper;

import org.bramleylatch.edge.Daemon;

/** Runs the keeper: it follows the log and hands out shares of budgets in its zone. */
public final class KeeperMain {

    private KeeperMain() {}

    /** Starts the keeper from its command line. */
    public static void main(String[] arguments) {
        new Daemon("bramleylatch-keeper", KeeperDaemon::start).main(arguments);
    }
}
