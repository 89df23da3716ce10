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

/** Is a specification, whole or deliberately broken, that the model checker can be asked about. */
final class Spec {
    private final String text;

    private Spec(String text) {
        this.text = text;
    }

    /** Returns the specification in the file. */
    static Spec of(String file) {
        try (InputStream in = Spec.class.getResourceAsStream(file)) {
            return new Spec(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    /** Returns the specification without the line that carries the mark. */
    Spec without(String mark) {
        String end = "--[" + mark + "]";
        if (!text.contains(end)) {
            throw new IllegalArgumentException("no line carries " + end);
        }
        return new Spec(
                text.lines().filter(line -> !line.endsWith(end)).collect(Collectors.joining("\n")));
    }

    /** Returns the specification with the line that is commented out under the mark. */
    Spec with(String mark) {
        String begin = "--[" + mark + "] ";
        if (!text.contains(begin)) {
            throw new IllegalArgumentException("no line begins with " + begin);
        }
        return new Spec(text.replace(begin, ""));
    }

    /** Returns true if the checker finds a counterexample to the assertion in its scope. */
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
