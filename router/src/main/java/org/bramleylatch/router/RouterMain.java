package org.bramleylatch.router;

import org.bramleylatch.edge.Daemon;

/** Runs the router: it takes callers' requests to endpoints. */
public final class RouterMain {

    private RouterMain() {}

    /** Starts the router from its command line. */
    public static void main(String[] arguments) {
        new Daemon("bramleylatch-router", RouterDaemon::start).main(arguments);
    }
}
