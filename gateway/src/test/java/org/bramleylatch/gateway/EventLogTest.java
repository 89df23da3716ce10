package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a log that drops what tells about a busy VM for lines of single attempts. */
class EventLogTest {
    private static final String VM = "event-log-test";
    private static final int MAX_LINES_PER_SECOND = 40;
    private static final int FLOOD_LINES = 1_000;

    private final AtomicLong nowMillis = new AtomicLong(1_000);
    private final EventLog log =
            new EventLog(() -> Instant.ofEpochMilli(nowMillis.get()), VM, MAX_LINES_PER_SECOND);
    private RecordedEvents recorded;

    @BeforeEach
    void startRecording() {
        recorded = RecordedEvents.startRecording();
    }

    @AfterEach
    void stopRecording() {
        recorded.stopRecording();
    }

    @Test
    void aFloodOfAttemptsLeavesRoomForRequestsAndRefusals() {
        write(EventKind.ATTEMPT_STARTED, FLOOD_LINES);
        write(EventKind.REQUEST_ARRIVED, 1);
        write(EventKind.REQUEST_REFUSED, 1);
        assertThat(count(EventKind.REQUEST_ARRIVED)).isEqualTo(1);
        assertThat(count(EventKind.REQUEST_REFUSED)).isEqualTo(1);
    }

    @Test
    void aFloodOfRefusalsLeavesRoomForTheStateOfTheVm() {
        write(EventKind.REQUEST_REFUSED, FLOOD_LINES);
        write(EventKind.LOOP_LATE, 1);
        write(EventKind.LINK_USED, 1);
        write(EventKind.CONFIGURATION_APPLIED, 1);
        assertThat(count(EventKind.LOOP_LATE)).isEqualTo(1);
        assertThat(count(EventKind.LINK_USED)).isEqualTo(1);
        assertThat(count(EventKind.CONFIGURATION_APPLIED)).isEqualTo(1);
    }

    @Test
    void noKindOfLineExceedsTheLimitOfASecond() {
        for (EventKind kind : EventKind.values()) {
            write(kind, FLOOD_LINES);
        }
        int writtenLines = 0;
        for (EventKind kind : EventKind.values()) {
            writtenLines += count(kind);
        }
        assertThat(writtenLines).isEqualTo(MAX_LINES_PER_SECOND);
    }

    @Test
    void theNextSecondTellsHowManyLinesOfEachPriorityWereDropped() {
        write(EventKind.REQUEST_REFUSED, MAX_LINES_PER_SECOND);
        write(EventKind.ATTEMPT_STARTED, FLOOD_LINES);
        nowMillis.addAndGet(1_000);
        write(EventKind.ATTEMPT_STARTED, 1);
        assertThat(recorded.droppedLines())
                .containsExactly("count=1004 step=1000 request=0 refusal=4 process=0");
        assertThat(count(EventKind.ATTEMPT_STARTED)).isEqualTo(1);
    }

    private void write(EventKind kind, int lines) {
        for (int line = 0; line < lines; line++) {
            log.write(new Event(kind, VM, VM));
        }
    }

    private int count(EventKind kind) {
        return recorded.count(kind, VM);
    }
}
