package org.bramleylatch.ctl;

import java.util.concurrent.CompletionException;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.edge.Build;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/**
 * Runs bramleylatchctl, the command line for operators. Exit codes: 0 done, 1 refused or failed, 2
 * wrong command line, 3 a budget does not balance or differs from the log.
 */
public final class CtlMain {
    private static final int EXIT_DONE = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE_ERROR = 2;
    private static final int EXIT_UNBALANCED = 3;

    private CtlMain() {}

    /** Runs one command and exits with its code. */
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
            return EXIT_USAGE_ERROR;
        }
        if (options.version) {
            System.out.println("bramleylatchctl " + Build.version());
            return EXIT_DONE;
        }
        if (options.help || options.words.isEmpty()) {
            System.out.println(Commands.usage());
            parser.printUsage(System.out);
            return options.help ? EXIT_DONE : EXIT_USAGE_ERROR;
        }
        return run(options);
    }

    private static int run(CtlOptions options) {
        try {
            Commands.run(options);
            return EXIT_DONE;
        } catch (IllegalArgumentException wrong) {
            System.err.println("bramleylatchctl: " + wrong.getMessage());
            return EXIT_USAGE_ERROR;
        } catch (ResultException | CompletionException failure) {
            System.err.println("bramleylatchctl: " + failure.getMessage());
            boolean unbalanced = ResultException.codeOf(failure) == ResultCode.BOOKS_DO_NOT_BALANCE;
            return unbalanced ? EXIT_UNBALANCED : EXIT_FAILED;
        }
    }
}
