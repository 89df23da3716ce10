package org.bramleylatch.ctl;

import java.util.concurrent.CompletionException;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.edge.Build;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/**
 * Runs bramleylatchctl, the operators' command line. Exit codes: 0 done, 1 refused or failed, 2 the
 * command line is wrong, 3 the books do not balance.
 */
public final class CtlMain {
    private static final int DONE = 0;
    private static final int FAILED = 1;
    private static final int USAGE = 2;
    private static final int UNBALANCED = 3;

    private CtlMain() {}

    /** Runs one command and ends the process. */
    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) {
        CtlOptions options = new CtlOptions();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException wrong) {
            System.err.println("bramleylatchctl: " + wrong.getMessage());
            return USAGE;
        }
        if (options.version) {
            System.out.println("bramleylatchctl " + Build.version());
            return DONE;
        }
        if (options.help || options.words.isEmpty()) {
            System.out.println(Commands.usage());
            parser.printUsage(System.out);
            return options.help ? DONE : USAGE;
        }
        return run(options);
    }

    private static int run(CtlOptions options) {
        try {
            Commands.run(options);
            return DONE;
        } catch (IllegalArgumentException wrong) {
            System.err.println("bramleylatchctl: " + wrong.getMessage());
            return USAGE;
        } catch (ResultException | CompletionException failure) {
            System.err.println("bramleylatchctl: " + failure.getMessage());
            boolean unbalanced = ResultException.codeOf(failure) == ResultCode.BOOKS_DO_NOT_BALANCE;
            return unbalanced ? UNBALANCED : FAILED;
        }
    }
}
