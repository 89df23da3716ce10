package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
    private final List<ServerSentEvent> events = new ArrayList<>();
    private final EventSplitter splitter = new EventSplitter(events::add);

    @Test
    void anEventReceivedInPiecesIsEmittedOnce() {
        splitter.append(Buffer.buffer("id: 1\nda"));
        assertThat(events).isEmpty();
        assertThat(splitter.hasUnfinishedEvent()).isTrue();
        splitter.append(Buffer.buffer("ta: x\n\nid: 2\ndata: y\n\n"));
        assertThat(events)
                .extracting(ServerSentEvent::id)
                .containsExactly(OptionalLong.of(1), OptionalLong.of(2));
        assertThat(splitter.hasUnfinishedEvent()).isFalse();
    }

    @Test
    void anIdThatFollowsOtherLinesIsFound() {
        assertThat(ServerSentEvent.parse("weights-versions: 3\nid:12\ndata: x\n\n").id())
                .hasValue(12);
    }

    @Test
    void anEventWithoutANumericIdFieldHasNoId() {
        assertThat(ServerSentEvent.parse("data: id: 4\n\n").id()).isEmpty();
        assertThat(ServerSentEvent.parse("id: four\n\n").id()).isEmpty();
    }
}
