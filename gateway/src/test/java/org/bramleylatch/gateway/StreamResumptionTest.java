package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a resumed stream in which an event is missing, comes twice or belongs to a run
 * that started over, and against bytes that are no event in the middle of a stream.
 */
class StreamResumptionTest {
    private static final String CHUNKED = StreamText.head("transfer-encoding: chunked");
    private static final String UNFRAMED = StreamText.head("x-note: none");
    private static final String FIRST = GatewayHarness.event(1);
    private static final String SECOND = GatewayHarness.event(2);
    private static final String WITHOUT_ID = "data: word\n\n";
    private static final String SECOND_AND_END =
            CHUNKED + StreamText.chunk(SECOND) + StreamText.LAST_CHUNK;

    private final GatewayHarness harness = new GatewayHarness();
    private final AtomicInteger requestCount = new AtomicInteger();

    @BeforeEach
    void start() throws Exception {
        harness.start();
    }

    @AfterEach
    void stop() {
        harness.stop();
    }

    @Test
    void aStreamWithoutEventIdsIsNotRunAgainAfterItsFirstEvent() throws Exception {
        RawCaller.Received received =
                callStory(
                        CHUNKED + StreamText.chunk(WITHOUT_ID),
                        CHUNKED + StreamText.chunk(WITHOUT_ID + WITHOUT_ID) + "0\r\n\r\n");
        assertIsBrokenOffAfter(received, WITHOUT_ID);
        assertThat(requestCount.get()).isEqualTo(1);
    }

    @Test
    void aStreamIsNotRunAgainAfterAnEventWithoutAnId() throws Exception {
        RawCaller.Received received =
                callStory(CHUNKED + StreamText.chunk(FIRST + WITHOUT_ID), SECOND_AND_END);
        assertIsBrokenOffAfter(received, FIRST + WITHOUT_ID);
        assertThat(requestCount.get()).isEqualTo(1);
    }

    @Test
    void aCommentDoesNotKeepAStreamFromBeingResumed() throws Exception {
        RawCaller.Received received =
                callStory(CHUNKED + StreamText.chunk(FIRST + ": ping\n\n"), SECOND_AND_END);
        assertIsComplete(received, FIRST + ": ping\n\n" + SECOND);
    }

    @Test
    void aResumedRunWhoseFirstEventHasNoIdDoesNotContinueTheStream() throws Exception {
        RawCaller.Received received =
                callStory(
                        CHUNKED + StreamText.chunk(FIRST),
                        CHUNKED + StreamText.chunk(WITHOUT_ID) + StreamText.LAST_CHUNK,
                        SECOND_AND_END);
        assertIsComplete(received, FIRST + SECOND);
    }

    @Test
    void aRunThatStartsOverDoesNotContinueTheStream() throws Exception {
        RawCaller.Received received =
                callStory(
                        CHUNKED + StreamText.chunk(FIRST),
                        CHUNKED
                                + StreamText.chunk(FIRST + "id: 2\ndata: other\n\n")
                                + StreamText.LAST_CHUNK,
                        SECOND_AND_END);
        assertIsComplete(received, FIRST + SECOND);
    }

    @Test
    void aRefusalAfterTheFirstEventLetsTheNextEndpointContinueTheStream() throws Exception {
        RawCaller.Received received =
                callStory(CHUNKED + StreamText.chunk(FIRST), refusal(), SECOND_AND_END);
        assertIsComplete(received, FIRST + SECOND);
    }

    @Test
    void refusalsWithoutEndCloseTheConnectionOfABegunStream() throws Exception {
        RawCaller.Received received = callStory(CHUNKED + StreamText.chunk(FIRST), refusal());
        assertIsBrokenOffAfter(received, FIRST);
    }

    @Test
    void aStreamThatIsShorterThanItsLengthIsResumed() throws Exception {
        RawCaller.Received received =
                callStory(StreamText.head("content-length: 1000") + FIRST, SECOND_AND_END);
        assertIsComplete(received, FIRST + SECOND);
    }

    @Test
    void aStreamWhoseLengthEndsInsideAnEventIsResumed() throws Exception {
        int length = FIRST.length() + 5;
        RawCaller.Received received =
                callStory(
                        StreamText.head("content-length: " + length) + FIRST + SECOND,
                        SECOND_AND_END);
        assertIsComplete(received, FIRST + SECOND);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 500 Oops\r\ncontent-type: text/plain\r\n\r\nfailed\n\n",
                "HTTP/1.1 500 Oops\r\ncontent-type: text/plain\r\n\r\nid: 2\ndata: failed\n\n",
                "HTTP/1.1 500 Oops\nid: 2\ndata: failed\n\n",
                "HTTP/1.1 200 OK\r\nrequest-id: request-1\r\nserver-seal: seal-1\r\n"
                        + "content-type: text/event-stream\r\n\r\nid: 2\ndata: word\n\n",
                "HTTP/1.1 200 O",
                "upstream failed\n\n",
                "{\"failed\": true}\n\n",
                "<html>failed</html>\n\n",
                "Error: failed\n\n",
                "id: 2\ndata: woHTTP/1.1 500 Oops\r\ncontent-length: 6\r\n\r\nfailed\n\n"
            })
    void bytesThatAreNoEventNeverReachTheCaller(String bytes) throws Exception {
        RawCaller.Received received = callStory(UNFRAMED + FIRST + bytes, SECOND_AND_END);
        assertIsComplete(received, FIRST + SECOND);
    }

    @Test
    void aStreamWithAnotherHeadInPlaceOfItsNextChunkIsResumed() throws Exception {
        String otherHead = "HTTP/1.1 500 Oops\r\ncontent-length: 6\r\n\r\nfailed";
        RawCaller.Received received =
                callStory(CHUNKED + StreamText.chunk(FIRST) + otherHead, SECOND_AND_END);
        assertIsComplete(received, FIRST + SECOND);
    }

    @Test
    void anotherAnswerBehindTheEndOfAStreamReachesNobody() throws Exception {
        String otherHead = "HTTP/1.1 500 Oops\r\ncontent-length: 6\r\n\r\nfailed";
        RawCaller.Received received = callStory(SECOND_AND_END + otherHead);
        assertIsComplete(received, SECOND);
        assertThat(call().events()).isEqualTo(SECOND);
    }

    @Test
    void aResumedStreamThatClosesBeforeAnyEventIsNotTheEndOfTheAnswer() throws Exception {
        RawCaller.Received received =
                callStory(CHUNKED + StreamText.chunk(FIRST), UNFRAMED, SECOND_AND_END);
        assertIsComplete(received, FIRST + SECOND);
    }

    @Test
    void aStreamThatSkipsAnEventIsResumedBeforeTheGap() throws Exception {
        RawCaller.Received received =
                callStory(
                        CHUNKED
                                + StreamText.chunk(FIRST + GatewayHarness.event(3))
                                + StreamText.LAST_CHUNK,
                        SECOND_AND_END);
        assertIsComplete(received, FIRST + SECOND);
    }

    /** Calls a route for three attempts; the last answer is given to all later requests too. */
    private RawCaller.Received callStory(String... answers) throws Exception {
        addEndpoints(answers);
        return call();
    }

    private RawCaller.Received call() throws IOException {
        return RawCaller.call(harness.gateway().ports().get(0), "/story/1", Map.of());
    }

    private void addEndpoints(String... answers) throws Exception {
        RawEndpoint.Behavior behavior =
                socket -> {
                    int index = Math.min(requestCount.incrementAndGet(), answers.length) - 1;
                    RawEndpoint.write(socket, answers[index]);
                };
        for (String id : List.of("i-1", "i-2", "i-3")) {
            harness.addRawEndpoint("llm", id, behavior);
        }
        StreamText.configureStoryRoute(harness);
    }

    private static String refusal() {
        return "HTTP/1.1 503 Busy\r\nrequest-id: request-1\r\nserver-seal: seal-2\r\n"
                + "not-executed: full\r\ncontent-length: 0\r\n\r\n";
    }

    private static void assertIsComplete(RawCaller.Received received, String events) {
        assertThat(received.events()).isEqualTo(events);
        assertThat(received.complete()).as("complete").isTrue();
    }

    private static void assertIsBrokenOffAfter(RawCaller.Received received, String events)
            throws IOException {
        assertThat(received.closed()).as("closed").isTrue();
        assertThat(received.complete()).as("complete").isFalse();
        assertThat(received.events()).isEqualTo(events);
    }
}
