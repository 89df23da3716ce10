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

/** Reads the answer of an endpoint to one attempt and reports it to the router's inbox. */
final class EndpointCall {
    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";

    private final AttemptId attempt;
    private final Consumer<RouterInput> inbox;
    private Optional<HttpClientRequest> request = Optional.empty();
    private Optional<HttpClientResponse> response = Optional.empty();
    private boolean cancelled;
    private boolean finishReasonReceived;

    EndpointCall(AttemptId attempt, Consumer<RouterInput> inbox) {
        this.attempt = attempt;
        this.inbox = inbox;
    }

    AttemptId attempt() {
        return attempt;
    }

    void requestOpened(HttpClientRequest newRequest) {
        request = Optional.of(newRequest);
        if (cancelled) {
            newRequest.reset();
        }
    }

    void cancel() {
        cancelled = true;
        request.ifPresent(HttpClientRequest::reset);
    }

    void setPaused(boolean paused) {
        response.ifPresent(answer -> pauseOrResume(answer, paused));
    }

    /**
     * Reads a stream of server-sent events. A stream that ends before an event with a finish reason
     * is reported as a failed attempt, since part of the answer may be missing; so is one with an
     * event that names another attempt.
     */
    void readStream(HttpClientResponse newResponse, Runnable onEnd) {
        response = Optional.of(newResponse);
        RecordParser lines = RecordParser.newDelimited("\n", this::receiveLine);
        newResponse.handler(lines);
        newResponse.endHandler(
                end -> {
                    onEnd.run();
                    if (!finishReasonReceived) {
                        reportFailure("the stream ended without an event with a finish reason");
                    }
                });
    }

    /** Reads the whole body and reports it as the answer of a service. */
    void readWhole(HttpClientResponse newResponse, Runnable onEnd) {
        response = Optional.of(newResponse);
        int status = newResponse.statusCode();
        newResponse
                .body()
                .onSuccess(
                        body -> {
                            onEnd.run();
                            inbox.accept(
                                    new RouterInput.ServiceAnswered(
                                            attempt, status, body.toString()));
                        });
    }

    private void receiveLine(Buffer line) {
        String text = line.toString();
        if (text.startsWith(DATA) && !text.startsWith(DONE, DATA.length())) {
            try {
                receiveEvent(Json.readTree(text.substring(DATA.length())));
            } catch (ResultException malformed) {
                reportFailure(malformed.getMessage());
            }
        }
    }

    private void receiveEvent(JsonNode event) {
        if (!attempt.value().equals(event.path("id").asText())) {
            reportFailure("an event names another attempt");
            return;
        }
        long position = event.path("position").asLong();
        JsonNode choice = event.path("choices").path(0);
        if (choice.path("finish_reason").isTextual()) {
            finishReasonReceived = true;
            String reason = choice.path("finish_reason").asText();
            inbox.accept(new RouterInput.AnswerEnded(attempt, position, reason));
        } else {
            String text = choice.path("delta").path("content").asText();
            inbox.accept(new RouterInput.TokensArrived(attempt, position, 1, text));
        }
    }

    private void reportFailure(String detail) {
        inbox.accept(new RouterInput.AttemptFailed(attempt, RunState.UNKNOWN, detail));
    }

    private static void pauseOrResume(HttpClientResponse response, boolean paused) {
        if (paused) {
            response.pause();
        } else {
            response.resume();
        }
    }
}
