package org.bramleylatch.keeper;

import org.bramleylatch.edge.Daemon;

/** Starts the keeper daemon, which follows the log and grants tokens of budgets in its zone. */
public final class KeeperMain {

    private KeeperMain() {}

    /** Runs the keeper with the settings that its command line names, until it is stopped. */
    public static void main(String[] arguments) {
        new Daemon("bramleylatch-keeper", KeeperDaemon::start).main(arguments);
    }
}
