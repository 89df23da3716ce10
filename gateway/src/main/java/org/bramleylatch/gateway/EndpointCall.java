package org.bramleylatch.gateway;

import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RunState;
import org.bramleylatch.platform.EndpointAnswerHead;

/** Is one attempt at an endpoint: turns its answer into messages. */
final class EndpointCall {
    private final AttemptId attempt;
    private final EndpointId endpoint;
    private final CallerExchange exchange;
    private final int tokensPerEvent;
    private final Consumer<RouterInput> inbox;
    private Optional<HttpClientRequest> request = Optional.empty();
    private Optional<HttpClientResponse> response = Optional.empty();
    private OptionalLong lastEvent;
    private long position;
    private boolean over;

    /**
     * Makes a call; nothing is sent yet.
     *
     * @param position how many tokens of the answer the caller has
     */
    EndpointCall(
            AttemptId attempt,
            EndpointId endpoint,
            CallerExchange exchange,
            long position,
            int tokensPerEvent,
            Consumer<RouterInput> inbox) {
        this.attempt = attempt;
        this.endpoint = endpoint;
        this.exchange = exchange;
        this.position = position;
        this.lastEvent = exchange.lastEvent();
        this.tokensPerEvent = tokensPerEvent;
        this.inbox = inbox;
    }

    /** Sends the request on a connection that has been made. */
    void send(HttpClientRequest newRequest) {
        request = Optional.of(newRequest);
        if (over) {
            newRequest.reset();
            return;
        }
        newRequest.exceptionHandler(failure -> fail(RunState.UNKNOWN, "request: " + failure));
        newRequest
                .response()
                .onSuccess(this::receive)
                .onFailure(failure -> fail(RunState.UNKNOWN, "no answer: " + failure));
        newRequest.end(exchange.body());
    }

    /** Fails because no connection could be made. */
    void unreachable(Throwable failure) {
        if (!over) {
            over = true;
            String detail = endpoint + " not connected: " + failure.getMessage();
            inbox.accept(new RouterInput.AttemptFailed(attempt, RunState.NOT_RUN, detail, false));
        }
    }

    /** Gives up the answer; the endpoint sees its connection close. */
    void cancel() {
        over = true;
        request.ifPresent(HttpClientRequest::reset);
    }

    /** Stops or goes on reading the answer. */
    void pause(boolean paused) {
        response.ifPresent(answer -> setFlow(answer, paused));
    }

    private void receive(HttpClientResponse answer) {
        if (over) {
            return;
        }
        response = Optional.of(answer);
        EndpointAnswerHead head = EndpointAnswerHead.of(answer);
        answer.exceptionHandler(failure -> fail(RunState.UNKNOWN, "answer broke: " + failure));
        if (!head.answers(exchange.head().id())) {
            fail(RunState.UNKNOWN, "answer to another request");
        } else if (head.saysNotRun()) {
            refused(head, answer.statusCode());
        } else {
            exchange.answerWith(head);
            if (head.isStream()) {
                stream(answer);
            } else {
                whole(answer);
            }
        }
    }

    private void refused(EndpointAnswerHead head, int status) {
        over = true;
        if (head.isOtherEndpoint()) {
            inbox.accept(new RouterInput.EndpointReplaced(endpoint));
        }
        String detail = "endpoint refused with " + status;
        inbox.accept(new RouterInput.AttemptFailed(attempt, RunState.NOT_RUN, detail));
    }

    private void stream(HttpClientResponse answer) {
        EventSplitter splitter = new EventSplitter(this::event);
        answer.handler(splitter::take);
        answer.endHandler(end -> endStream(splitter));
    }

    private void endStream(EventSplitter splitter) {
        if (splitter.isMidEvent()) {
            fail(RunState.RAN, "answer ends within an event");
        } else if (!over) {
            over = true;
            inbox.accept(new RouterInput.AnswerEnded(attempt, position, "stop"));
        }
    }

    private void event(StreamEvent event) {
        if (over) {
            return;
        }
        long ahead = 0;
        if (event.id().isPresent() && lastEvent.isPresent()) {
            ahead = event.id().getAsLong() - lastEvent.getAsLong() - 1;
        }
        long at = position + ahead * tokensPerEvent;
        if (ahead == 0) {
            position += tokensPerEvent;
            lastEvent = event.id();
        }
        inbox.accept(new RouterInput.TokensArrived(attempt, at, tokensPerEvent, event.text()));
    }

    private void whole(HttpClientResponse answer) {
        int status = answer.statusCode();
        answer.body()
                .onSuccess(
                        body ->
                                answered(
                                        status,
                                        new String(body.getBytes(), StandardCharsets.ISO_8859_1)))
                .onFailure(failure -> fail(RunState.UNKNOWN, "answer broke: " + failure));
    }

    private void answered(int status, String body) {
        if (!over) {
            over = true;
            inbox.accept(new RouterInput.ServiceAnswered(attempt, status, body));
        }
    }

    private void fail(RunState ran, String detail) {
        if (!over) {
            over = true;
            inbox.accept(new RouterInput.AttemptFailed(attempt, ran, endpoint + " " + detail));
        }
    }

    private static void setFlow(HttpClientResponse answer, boolean paused) {
        if (paused) {
            answer.pause();
        } else {
            answer.resume();
        }
    }
}
