package org.bramleylatch.ctl;

import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Holds the options of the command line, and its words: the command and its arguments. */
final class CtlOptions {
    @Option(name = "--admin", metaVar = "IP:PORT", usage = "address of the administration API")
    String adminAddress = "127.0.0.1:8090";

    @Option(
            name = "--platform",
            metaVar = "IP:PORT",
            usage = "address of the platform, for budget reconcile")
    String platformAddress = "127.0.0.1:8070";

    @Option(name = "--key", metaVar = "KEY", usage = "administration key")
    String adminKey = "";

    @Option(
            name = "--idempotency-key",
            metaVar = "UUID",
            usage = "repeated calls with the same key take effect once")
    String idempotencyKey = "";

    @Option(name = "--revision", metaVar = "N", usage = "expected revision of the section")
    String expectedRevision = "";

    @Option(
            name = "--filter",
            metaVar = "TEXT",
            usage = "keep only timeline lines that contain the text")
    String filterText = "";

    @Option(name = "--html", metaVar = "FILE", usage = "write the timeline to an HTML page")
    String htmlFile = "";

    @Option(name = "--help", aliases = "-h", help = true, usage = "print this help and exit")
    boolean help;

    @Option(name = "--version", help = true, usage = "print the version and exit")
    boolean version;

    @Argument(metaVar = "COMMAND")
    List<String> words = new ArrayList<>();
}
