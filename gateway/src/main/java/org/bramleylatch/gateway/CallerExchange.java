package org.bramleylatch.gateway;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.RetryAdvice;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.core.RunState;
import org.bramleylatch.edge.Problem;
import org.bramleylatch.platform.AnswerSignature;
import org.bramleylatch.platform.CallerRequestHead;
import org.bramleylatch.platform.EndpointAnswerHead;
import org.bramleylatch.wire.Json;

/** Holds a caller's open request and writes its answer, as a whole or event by event. */
final class CallerExchange {
    private static final int WRITE_QUEUE_BYTES = 16 * 1024;
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_BAD_GATEWAY = 502;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final HttpServerRequest request;
    private final CallerRequestHead head;
    private final RequestBody body;
    private final ArrivalTime arrival;
    private final AnswerWrites writes;
    private Optional<EndpointAnswerHead> answerHead = Optional.empty();
    private OptionalLong lastEventId = OptionalLong.empty();
    private final Promise<Void> discarded = Promise.promise();
    private Runnable closingListener = () -> {};
    private Runnable writtenListener = () -> {};
    private boolean started;

    CallerExchange(
            HttpServerRequest request,
            CallerRequestHead head,
            RequestBody body,
            ArrivalTime arrival,
            AnswerWrites writes) {
        this.request = request;
        this.head = head;
        this.body = body;
        this.arrival = arrival;
        this.writes = writes;
    }

    /** Sets the action that runs before the end of an answer that closes the connection. */
    void onClosing(Runnable action) {
        closingListener = action;
    }

    /** Sets the action that runs once the last byte of an answer is written. */
    void onWritten(Runnable action) {
        writtenListener = action;
    }

    HttpServerRequest request() {
        return request;
    }

    CallerRequestHead head() {
        return head;
    }

    Buffer body() {
        return body.bytes();
    }

    /** Returns a hash of the caller, the call, the prompt and the body, equal for repeats. */
    String fingerprint() {
        return head.fingerprint(request, body.bytes());
    }

    /**
     * Ends a request to an endpoint with the body.
     *
     * @return completes once the body is written, or fails with the connection
     */
    Future<Void> sendBodyTo(HttpClientRequest target) {
        return body.sendTo(target);
    }

    /** Gives the body's memory back once no connection to an endpoint needs it. */
    void releaseBody() {
        body.release();
    }

    /** Returns when the request's head may have arrived at the earliest. */
    long arrivedMillis() {
        return arrival.earliestMillis();
    }

    /** Returns when the request's head was read. */
    long readMillis() {
        return arrival.readMillis();
    }

    /** Returns true once a part of a streamed answer has been sent. */
    boolean isStarted() {
        return started;
    }

    /** Returns the status of the answer; empty if its head is not written. */
    Optional<Integer> sentStatus() {
        return Optional.of(response())
                .filter(HttpServerResponse::headWritten)
                .map(HttpServerResponse::getStatusCode);
    }

    /** Returns a digest of the endpoint's signature on the answer; empty if it bears none. */
    Optional<String> sentSignatureDigest() {
        return AnswerSignature.digest(response().headers());
    }

    /** Returns the id of the last event that was sent; empty if there is none or it has no id. */
    OptionalLong lastEventId() {
        return lastEventId;
    }

    /**
     * Sets the endpoint's head for the answer that follows, unless an answer has started already.
     */
    void setAnswerHead(EndpointAnswerHead newHead) {
        if (!started) {
            answerHead = Optional.of(newHead);
        }
    }

    /** Sends an event, after the status and headers if it is the first one. */
    void sendEvent(String text) {
        startStream();
        ServerSentEvent event = ServerSentEvent.parse(text);
        if (!event.isComment()) {
            lastEventId = event.id();
        }
        response()
                .write(Buffer.buffer(text.getBytes(StandardCharsets.ISO_8859_1)))
                .onFailure(failure -> closeConnection());
    }

    /**
     * Ends a streamed answer as complete.
     *
     * @param close whether to close the connection after it
     * @return completes once the end is written
     */
    Future<Void> endStream(boolean close) {
        startStream();
        return end(Buffer.buffer(), close);
    }

    /**
     * Sends a whole answer with the headers that the endpoint set.
     *
     * @param close whether to close the connection after it
     * @return completes once the answer is written
     * @throws IllegalStateException if a streamed answer has started
     */
    Future<Void> sendWhole(int status, String text, boolean close) {
        requireNotStarted();
        response().setStatusCode(status);
        answerHead.ifPresent(newest -> newest.forwardHeaders(response().headers()));
        return end(Buffer.buffer(text.getBytes(StandardCharsets.ISO_8859_1)), close);
    }

    /**
     * Answers with a problem document.
     *
     * @param close whether to close the connection after the problem document
     * @return completes once the problem document is written
     * @throws IllegalStateException if a streamed answer has started
     */
    Future<Void> refuse(RouterOutput.Refuse refusal, boolean close) {
        return end(problemDocument(refusal), close);
    }

    /**
     * Answers with a problem document while the rest of the request is still being sent. The answer
     * is complete for the caller, but the runtime keeps the connection until it is ended.
     */
    void refuseEarly(RouterOutput.Refuse refusal) {
        Buffer document = problemDocument(refusal);
        closingListener.run();
        response()
                .putHeader("connection", "close")
                .putHeader("content-length", Integer.toString(document.length()))
                .exceptionHandler(failure -> closeConnection())
                .closeHandler(closed -> discarded.tryFail("connection closed"))
                .write(document);
        writes.add(discarded.future());
    }

    /** Ends a refusal once the rest of its request was read, and closes the connection. */
    void endEarlyRefusal() {
        response().end().onComplete(done -> closeConnection());
        discarded.tryComplete();
    }

    /** Closes the connection; an answer that has not ended looks incomplete to the caller. */
    void closeConnection() {
        request.connection().close();
    }

    /** 503 promises that the request did not run; if that is not certain, it becomes 502. */
    private static int httpStatus(ResultCode code, RunState runState) {
        boolean promisesNotRun = code.httpStatus() == STATUS_UNAVAILABLE;
        return promisesNotRun && runState != RunState.NOT_RUN
                ? STATUS_BAD_GATEWAY
                : code.httpStatus();
    }

    private Buffer problemDocument(RouterOutput.Refuse refusal) {
        requireNotStarted();
        int status = httpStatus(refusal.code(), refusal.runState());
        if (status == STATUS_UNAVAILABLE) {
            long millis =
                    refusal.retryAfterMillis().orElse(RetryAdvice.retryAfterMillis(refusal.code()));
            double seconds = millis / MILLIS_PER_SECOND;
            response().putHeader("retry-after", Double.toString(seconds));
        }
        response().setStatusCode(status).putHeader("content-type", "application/problem+json");
        Problem problem = Problem.of(refusal.code(), refusal.runState(), refusal.detail());
        return Buffer.buffer(Json.write(problem));
    }

    private void requireNotStarted() {
        if (started) {
            throw new IllegalStateException("whole answer after the beginning of a stream");
        }
    }

    private void startStream() {
        if (!started) {
            started = true;
            response()
                    .setStatusCode(answerHead.map(EndpointAnswerHead::status).orElse(STATUS_OK))
                    .setChunked(true)
                    .setWriteQueueMaxSize(WRITE_QUEUE_BYTES);
            answerHead.ifPresent(newest -> newest.forwardHeaders(response().headers()));
        }
    }

    /** Ends the answer. A requested close is announced in the headers if they are not sent yet. */
    private Future<Void> end(Buffer last, boolean close) {
        if (close) {
            closingListener.run();
        }
        if (close && !response().headWritten()) {
            response().putHeader("connection", "close");
        }
        Future<Void> sent = response().end(last);
        writes.add(sent);
        if (close) {
            sent.onComplete(done -> closeConnection());
        } else {
            sent.onSuccess(done -> writtenListener.run());
            sent.onFailure(failure -> closeConnection());
        }
        return sent;
    }

    private HttpServerResponse response() {
        return request.response();
    }
}
