package org.bramleylatch.admin;

import org.bramleylatch.edge.Daemon;

/** Runs the administration API. */
public final class AdminMain {

    private AdminMain() {}

    /** Starts the administration API with the given command line. */
    public static void main(String[] arguments) {
        new Daemon("bramleylatch-admin", AdminDaemon::start).main(arguments);
    }
}
