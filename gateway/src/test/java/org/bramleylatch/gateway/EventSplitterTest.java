package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
    private final List<StreamEvent> events = new ArrayList<>();
    private final EventSplitter splitter = new EventSplitter(events::add);

    @Test
    void anEventThatComesInPiecesIsPassedOnOnce() {
        splitter.take(Buffer.buffer("id: 1\nda"));
        assertThat(events).isEmpty();
        assertThat(splitter.isMidEvent()).isTrue();
        splitter.take(Buffer.buffer("ta: x\n\nid: 2\ndata: y\n\n"));
        assertThat(events)
                .extracting(StreamEvent::id)
                .containsExactly(OptionalLong.of(1), OptionalLong.of(2));
        assertThat(splitter.isMidEvent()).isFalse();
    }

    @Test
    void anIdThatFollowsOtherLinesIsFound() {
        assertThat(StreamEvent.of("weights-versions: 3\nid:12\ndata: x\n\n").id()).hasValue(12);
    }

    @Test
    void anEventWithoutANumberHasNoId() {
        assertThat(StreamEvent.of("data: id: 4\n\n").id()).isEmpty();
        assertThat(StreamEvent.of("id: four\n\n").id()).isEmpty();
    }
}
