package org.bramleylatch.ctl;

import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Holds the command line of bramleylatchctl. */
final class CtlOptions {
    @Option(name = "--admin", metaVar = "IP:PORT", usage = "the administration API")
    String admin = "127.0.0.1:8090";

    @Option(name = "--platform", metaVar = "IP:PORT", usage = "the platform, for reconcile")
    String platform = "127.0.0.1:8070";

    @Option(name = "--key", metaVar = "KEY", usage = "the key of a section owner")
    String key = "";

    @Option(
            name = "--idempotency-key",
            metaVar = "UUID",
            usage = "makes a repeated call count once")
    String idempotencyKey = "";

    @Option(name = "--revision", metaVar = "N", usage = "the revision that a section is at")
    String revision = "";

    @Option(name = "--filter", metaVar = "TEXT", usage = "keep time line rows that hold the text")
    String filter = "";

    @Option(name = "--html", metaVar = "FILE", usage = "write the time line as a page")
    String html = "";

    @Option(name = "--help", aliases = "-h", help = true, usage = "print this and exit")
    boolean help;

    @Option(name = "--version", help = true, usage = "print the version and exit")
    boolean version;

    @Argument(metaVar = "COMMAND")
    List<String> words = new ArrayList<>();
}
