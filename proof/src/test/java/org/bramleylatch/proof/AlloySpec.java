package org.bramleylatch.proof;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;

/** Holds an Alloy model, as written or with a marked line changed, and runs its checks. */
final class AlloySpec {
    private final String text;

    private AlloySpec(String text) {
        this.text = text;
    }

    /** Reads the model from a file in this package. */
    static AlloySpec of(String file) {
        try (InputStream in = AlloySpec.class.getResourceAsStream(file)) {
            return new AlloySpec(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    /** Makes a copy without the line that ends in {@code --[mark]}. */
    AlloySpec withoutLine(String mark) {
        String lineEnd = "--[" + mark + "]";
        if (!text.contains(lineEnd)) {
            throw new IllegalArgumentException("the model has no line that ends in " + lineEnd);
        }
        return new AlloySpec(
                text.lines()
                        .filter(line -> !line.endsWith(lineEnd))
                        .collect(Collectors.joining("\n")));
    }

    /** Makes a copy in which the line that begins with {@code --[mark]} is uncommented. */
    AlloySpec withUncommentedLine(String mark) {
        String lineStart = "--[" + mark + "] ";
        if (!text.contains(lineStart)) {
            throw new IllegalArgumentException(
                    "the model has no line that begins with " + lineStart);
        }
        return new AlloySpec(text.replace(lineStart, ""));
    }

    /**
     * Runs the check of the assertion; true if the model checker finds a counterexample within the
     * scope that the model gives.
     */
    boolean hasCounterexampleTo(String assertion) {
        CompModule module = CompUtil.parseEverything_fromString(A4Reporter.NOP, text);
        Command command =
                module.getAllCommands().stream()
                        .filter(candidate -> candidate.label.equals(assertion))
                        .findFirst()
                        .orElseThrow();
        return TranslateAlloyToKodkod.execute_command(
                        A4Reporter.NOP, module.getAllReachableSigs(), command, new A4Options())
                .satisfiable();
    }
}
