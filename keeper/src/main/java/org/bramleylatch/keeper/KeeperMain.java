package org.bramleylatch.keeper;

import org.bramleylatch.edge.Daemon;

/** Runs a keeper, which follows the log and hands out tokens of budgets in its zone. */
public final class KeeperMain {

    private KeeperMain() {}

    /** Starts the keeper with the given command line. */
    public static void main(String[] arguments) {
        new Daemon("bramleylatch-keeper", KeeperDaemon::start).main(arguments);
    }
}
