package org.bramleylatch.router;

import org.bramleylatch.edge.Daemon;

/** Starts the router daemon, which forwards callers' requests to endpoints. */
public final class RouterMain {

    private RouterMain() {}

    /** Runs the router with the settings that its command line names, until it is stopped. */
    public static void main(String[] arguments) {
        new Daemon("bramleylatch-router", RouterDaemon::start).main(arguments);
    }
}
