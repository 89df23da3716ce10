package org.bramleylatch.router;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.parsetools.RecordParser;
import java.util.Optional;
import java.util.function.Consumer;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RunState;
import org.bramleylatch.wire.Json;

/** Is the endpoint's side of one attempt. */
final class EndpointCall {
    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";

    private final AttemptId attempt;
    private final Consumer<RouterInput> inbox;
    private Optional<HttpClientRequest> request = Optional.empty();
    private Optional<HttpClientResponse> response = Optional.empty();
    private boolean cancelled;
    private boolean endSeen;

    EndpointCall(AttemptId attempt, Consumer<RouterInput> inbox) {
        this.attempt = attempt;
        this.inbox = inbox;
    }

    AttemptId attempt() {
        return attempt;
    }

    void opened(HttpClientRequest newRequest) {
        request = Optional.of(newRequest);
        if (cancelled) {
            newRequest.reset();
        }
    }

    void cancel() {
        cancelled = true;
        request.ifPresent(HttpClientRequest::reset);
    }

    void pause(boolean paused) {
        response.ifPresent(r -> setFlow(r, paused));
    }

    /** Reads a stream of events. */
    void stream(HttpClientResponse newResponse, Runnable closed) {
        response = Optional.of(newResponse);
        RecordParser lines = RecordParser.newDelimited("\n", this::line);
        newResponse.handler(lines);
        newResponse.endHandler(
                end -> {
                    closed.run();
                    if (!endSeen) {
                        fail("stream ended without an end marker");
                    }
                });
    }

    /** Reads an answer in one piece. */
    void whole(HttpClientResponse newResponse, Runnable closed) {
        response = Optional.of(newResponse);
        int status = newResponse.statusCode();
        newResponse
                .body()
                .onSuccess(
                        body -> {
                            closed.run();
                            inbox.accept(
                                    new RouterInput.ServiceAnswered(
                                            attempt, status, body.toString()));
                        });
    }

    private void line(Buffer line) {
        String text = line.toString();
        if (text.startsWith(DATA) && !text.startsWith(DONE, DATA.length())) {
            try {
                event(Json.readTree(text.substring(DATA.length())));
            } catch (ResultException malformed) {
                fail(malformed.getMessage());
            }
        }
    }

    private void event(JsonNode event) {
        AttemptId id = AttemptId.of(event.path("id").asText());
        long position = event.path("position").asLong();
        JsonNode choice = event.path("choices").path(0);
        if (choice.path("finish_reason").isTextual()) {
            endSeen = true;
            String reason = choice.path("finish_reason").asText();
            inbox.accept(new RouterInput.AnswerEnded(id, position, reason));
        } else {
            String text = choice.path("delta").path("content").asText();
            inbox.accept(new RouterInput.TokensArrived(id, position, 1, text));
        }
    }

    private void fail(String detail) {
        inbox.accept(new RouterInput.AttemptFailed(attempt, RunState.UNKNOWN, detail));
    }

    private static void setFlow(HttpClientResponse response, boolean paused) {
        if (paused) {
            response.pause();
        } else {
            response.resume();
        }
    }
}
