package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.bramleylatch.core.ResultCode;
import org.junit.jupiter.api.Test;

/** Guards against result codes that are missing or wrong on the documentation page. */
class ResultCodesPageTest {
    private static final Path PAGE = Path.of("..", "docs", "RESULT-CODES.md");

    @Test
    void thePageNamesEveryCodeWithItsNumberAndStatus() throws IOException {
        List<String> rows =
                Files.readAllLines(PAGE).stream()
                        .filter(row -> row.matches("\\| \\d+ .*"))
                        .toList();
        List<String> expected =
                Arrays.stream(ResultCode.values())
                        .map(code -> row(code.number(), code.name(), code.httpStatus()))
                        .toList();
        assertThat(rows).hasSameSizeAs(expected);
        for (int index = 0; index < rows.size(); index++) {
            assertThat(rows.get(index)).startsWith(expected.get(index));
        }
    }

    @Test
    void noTwoCodesShareANumber() {
        assertThat(ResultCode.values()).extracting(ResultCode::number).doesNotHaveDuplicates();
    }

    private static String row(int number, String name, int status) {
        return "| " + number + " | " + name + " | " + status + " | ";
    }
}
