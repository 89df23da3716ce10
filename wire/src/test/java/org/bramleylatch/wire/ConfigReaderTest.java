package org.bramleylatch.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bramleylatch.core.RequestKey;
import org.junit.jupiter.api.Test;

class ConfigReaderTest {
    private final List<String> log = new ArrayList<>();

    @Test
    void aReaderWhosePositionExpiredLoadsTheSnapshotAndAppliesTheRecordsAfterIt() {
        ConfigReader first = ConfigReader.atStart();
        propose("routes", -1, "[]");
        propose("members", -1, "[]");
        read(first, 0);
        log.add(Json.write((ConfigRecord) first.document().snapshot()));
        propose("routes", 0, "[]");
        ConfigReader late = ConfigReader.atStart();
        late.markExpired();
        assertThat(late.readOffset()).isEqualTo(-1);
        read(late, 2);
        assertThat(late.readOffset()).isEqualTo(2);
        read(late, 2);
        assertThat(late.document().sections()).hasSize(2);
        assertThat(late.document().configuration().revision()).isEqualTo(3);
    }

    @Test
    void aSnapshotOlderThanTheDocumentIsNotLoaded() {
        ConfigReader reader = ConfigReader.atStart();
        propose("routes", -1, "[]");
        read(reader, 0);
        ConfigRecord old = reader.document().snapshot();
        propose("routes", 0, "[]");
        read(reader, 0);
        assertThat(reader.document().configuration().revision()).isEqualTo(1);
        log.add(Json.write(old));
        reader.markExpired();
        read(reader, 0);
        assertThat(reader.document().configuration().revision()).isEqualTo(1);
    }

    private void propose(String section, long revision, String content) {
        long number = log.size();
        ConfigRecord proposal =
                new ConfigRecord.SectionProposed(
                        section,
                        revision,
                        "ops",
                        RequestKey.of(number, number),
                        Json.readTree(content));
        log.add(Json.write(proposal));
    }

    private void read(ConfigReader reader, int earliest) {
        int from = (int) Math.max(earliest, reader.readOffset());
        for (int offset = from; offset < log.size(); offset++) {
            reader.apply(earliest, offset, offset, log.get(offset));
        }
    }
}
