package org.bramleylatch.gateway;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.bramleylatch.core.AnswerEvidence;
import org.bramleylatch.core.AnswerVerdict;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterInput.AttemptFailed.Cause;
import org.bramleylatch.core.RunState;
import org.bramleylatch.platform.EndpointAnswerHead;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs one attempt: sends the request to an endpoint and turns its answer into router messages. */
final class EndpointCall {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointCall.class);

    /** Larger than any answer that is not streamed; such an answer is held until its end. */
    private static final int MAX_WHOLE_BYTES = 1024 * 1024;

    /** Bounds the time that an endpoint may take to send a failure. */
    private static final int MAX_FAILURE_SECONDS = 300;

    /** Covers one answer each for the request's head, its body and early hints, several times. */
    private static final int MAX_INTERIM_ANSWERS = 16;

    private final AttemptId attempt;
    private final EndpointId endpoint;
    private final CallerExchange exchange;
    private final boolean isRelayed;
    private final EventRelay events;
    private final AnswerReader.Factory readers;
    private final Consumer<RouterInput> inbox;
    private final Consumer<Event> timeline;
    private final ByteBudget bufferBudget;
    private Optional<HttpClientRequest> request = Optional.empty();
    private Optional<ConnectionUse> unansweredUse = Optional.empty();
    private Optional<AnswerReader> reader = Optional.empty();
    private int interimAnswers;
    private long bufferedBytes;
    private boolean requestWritten;
    private boolean finished;

    /**
     * Creates a call; nothing is sent yet.
     *
     * @param isRelayed whether a peer carries the connection
     * @param events receives the events of a streamed answer
     * @param readers reads the answer
     * @param bufferBudget bounds what all calls hold of incomplete answers
     * @param timeline receives what arrived on which connection
     */
    EndpointCall(
            AttemptId attempt,
            EndpointId endpoint,
            CallerExchange exchange,
            boolean isRelayed,
            EventRelay events,
            AnswerReader.Factory readers,
            ByteBudget bufferBudget,
            Consumer<RouterInput> inbox,
            Consumer<Event> timeline) {
        this.attempt = attempt;
        this.endpoint = endpoint;
        this.exchange = exchange;
        this.isRelayed = isRelayed;
        this.events = events;
        this.readers = readers;
        this.bufferBudget = bufferBudget;
        this.inbox = inbox;
        this.timeline = timeline;
    }

    /**
     * Sends the request on an open connection, or resets it if the call was cancelled meanwhile.
     *
     * @param use the place of the request on its connection
     */
    void send(HttpClientRequest newRequest, ConnectionUse use) {
        request = Optional.of(newRequest);
        if (finished) {
            newRequest.reset();
            return;
        }
        unansweredUse = Optional.of(use);
        newRequest.exceptionHandler(failure -> loseConnection("request failed: ", failure));
        newRequest.continueHandler(ignored -> receiveInterim());
        newRequest.earlyHintsHandler(hints -> receiveInterim());
        newRequest
                .response()
                .onSuccess(answer -> guard(() -> receiveHead(answer, use)))
                .onFailure(failure -> loseConnection("no answer: " + failure));
        guard(() -> exchange.sendBodyTo(newRequest).onSuccess(written -> requestWritten = true));
    }

    /** Fails the attempt if a step throws, since the runtime's future only logs that. */
    private void guard(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException failure) {
            LOG.error("call of {} failed", endpoint, failure);
            closeConnection();
            loseConnection("call failed: " + failure);
        }
    }

    /** Reports that no connection could be opened, and why; the request did not run. */
    void connectionFailed(Throwable failure, Cause cause) {
        if (!finished) {
            finished = true;
            String detail = endpoint + " not connected: " + failure.getMessage();
            inbox.accept(new RouterInput.AttemptFailed(attempt, RunState.NOT_RUN, detail, cause));
        }
    }

    /** Cancels the call; the endpoint sees its connection close. */
    void cancel() {
        finish();
        request.ifPresent(HttpClientRequest::reset);
        reader.ifPresent(AnswerReader::drop);
    }

    /** Pauses or resumes reading the answer. */
    void setPaused(boolean paused) {
        reader.ifPresent(reading -> reading.setCallerSlow(paused));
    }

    /** Ends the attempt of an endpoint whose interim answers outnumber those of a sound one. */
    private void receiveInterim() {
        interimAnswers++;
        if (!finished && interimAnswers > MAX_INTERIM_ANSWERS) {
            closeConnection();
            fail(RunState.UNKNOWN, "sent more than " + MAX_INTERIM_ANSWERS + " interim answers");
        }
    }

    private void receiveHead(HttpClientResponse answer, ConnectionUse use) {
        if (finished) {
            return;
        }
        EndpointAnswerHead head = EndpointAnswerHead.of(answer);
        answer.exceptionHandler(failure -> loseConnection("answer interrupted: ", failure));
        if (head.isSuccess() || head.requestsPerSecondLimit().isPresent()) {
            inbox.accept(
                    new RouterInput.RateLimitObserved(endpoint, head.requestsPerSecondLimit()));
        }
        AnswerEvidence evidence = head.evidence(use.uses());
        AnswerVerdict verdict = evidence.judge(exchange.head().id());
        noteAnswer(head, evidence, use, verdict);
        if (verdict != AnswerVerdict.UNATTRIBUTED && !head.isMisdirected()) {
            reportSignals(head);
        }
        Runnable handler =
                switch (verdict) {
                    case ANSWER -> () -> readAnswer(answer, head, evidence.keepsConnection());
                    case REFUSAL -> () -> handleRefusal(head, evidence);
                    case UNATTRIBUTED ->
                            () -> dropAnswer("answer is not known to be the request's", evidence);
                    case UNPROVEN ->
                            () -> dropAnswer("answer does not say what became of it", evidence);
                };
        handler.run();
    }

    private void noteAnswer(
            EndpointAnswerHead head,
            AnswerEvidence evidence,
            ConnectionUse use,
            AnswerVerdict verdict) {
        unansweredUse = Optional.empty();
        String signature = head.signatureDigest().orElse("none");
        note(
                EventKind.ATTEMPT_ANSWERED,
                "connection="
                        + use.connection()
                        + " "
                        + evidence.describe()
                        + " signature="
                        + signature
                        + " verdict="
                        + verdict);
    }

    private void note(EventKind kind, String detail) {
        timeline.accept(Event.of(kind, attempt, "endpoint=" + endpoint + " " + detail));
    }

    private void reportSignals(EndpointAnswerHead head) {
        if (head.isLeaving()) {
            inbox.accept(new RouterInput.EndpointLeaving(endpoint));
        }
        head.pauseMillis()
                .ifPresent(
                        millis -> inbox.accept(new RouterInput.EndpointPaused(endpoint, millis)));
    }

    private void readAnswer(
            HttpClientResponse answer, EndpointAnswerHead head, boolean keepsConnection) {
        if (!keepsConnection) {
            retireConnection();
        }
        exchange.setAnswerHead(head);
        if (head.isEventStream()) {
            readStream(answer, head.endsWithConnection());
        } else {
            readWhole(answer, head.endsWithConnection());
        }
    }

    private void handleRefusal(EndpointAnswerHead head, AnswerEvidence evidence) {
        closeConnection();
        if (head.isMisdirected()) {
            inbox.accept(new RouterInput.EndpointReplaced(endpoint));
        } else {
            head.refusalsPerSecondLimit()
                    .ifPresent(
                            limit -> inbox.accept(new RouterInput.BrittleRefusal(endpoint, limit)));
        }
        fail(RunState.NOT_RUN, "refused the request: " + evidence.describe());
    }

    private void dropAnswer(String reason, AnswerEvidence evidence) {
        closeConnection();
        fail(RunState.UNKNOWN, reason + ": " + evidence.describe());
    }

    /**
     * Closes the connection at the end of the answer, before the pool can hand it out again, since
     * a late copy may follow on it, since it is not read while the answer is held, or since it may
     * carry no further request.
     */
    void retireConnection() {
        request.ifPresent(
                sent -> sent.connection().shutdown(MAX_FAILURE_SECONDS, TimeUnit.SECONDS));
    }

    /**
     * Closes the connection before the pool can hand it out again, since a late copy of the answer
     * may follow on it. The pool has no connection whose answer is not handled to its end: one
     * whose answer is held was retired.
     */
    private void closeConnection() {
        request.ifPresent(sent -> sent.connection().close());
    }

    private void readStream(HttpClientResponse answer, boolean endsWithConnection) {
        EventSplitter splitter = new EventSplitter();
        read(
                answer,
                splitter::append,
                () -> receiveNext(splitter),
                () -> endStream(splitter, endsWithConnection));
    }

    private void read(
            HttpClientResponse answer,
            Consumer<Buffer> append,
            Supplier<OptionalInt> handleNext,
            Runnable end) {
        reader =
                Optional.of(
                        readers.start(
                                answer,
                                new AnswerParts(
                                        append,
                                        handleNext,
                                        end,
                                        failure -> loseConnection("answer interrupted: " + failure),
                                        this::retireConnection)));
    }

    private OptionalInt receiveNext(EventSplitter splitter) {
        Optional<ServerSentEvent> event = splitter.next();
        if (event.isEmpty() && splitter.holdsTooLongEvent()) {
            fail(RunState.RAN, "event of over " + EventSplitter.MAX_EVENT_BYTES + " bytes");
        }
        event.flatMap(events::forward).ifPresent(detail -> fail(RunState.RAN, detail));
        return event.map(found -> OptionalInt.of(found.text().length()))
                .orElse(OptionalInt.empty());
    }

    private void endStream(EventSplitter splitter, boolean endsWithConnection) {
        if (loseUnprovenEnd(endsWithConnection)) {
            return;
        }
        if (splitter.hasUnfinishedEvent()) {
            fail(
                    RunState.RAN,
                    "answer ended within an event",
                    endsWithConnection ? Cause.CONNECTION_LOST : Cause.OTHER);
        } else if (endsWithConnection && !events.hasEvent()) {
            loseConnection("connection closed before the first event");
        } else if (!finished) {
            finished = true;
            events.end();
        }
    }

    private void readWhole(HttpClientResponse answer, boolean endsWithConnection) {
        int status = answer.statusCode();
        Buffer body = Buffer.buffer();
        read(
                answer,
                bytes -> appendToWhole(body, bytes),
                OptionalInt::empty,
                () -> {
                    if (!loseUnprovenEnd(endsWithConnection)) {
                        receiveWhole(status, body.toString(StandardCharsets.ISO_8859_1));
                    }
                });
    }

    /**
     * Takes the end of a connection for its loss where it does not prove the end of the answer: a
     * peer that ends closes the connections that it carries, and the runtime closes one on which
     * the rest of the request can't be written any more, such as after a reset.
     *
     * @return true if the end was taken for a loss
     */
    private boolean loseUnprovenEnd(boolean endsWithConnection) {
        boolean isUnproven = endsWithConnection && (isRelayed || !requestWritten);
        if (isUnproven) {
            loseConnection("closed, relayed=" + isRelayed + " requestWritten=" + requestWritten);
        }
        return isUnproven;
    }

    private void appendToWhole(Buffer body, Buffer bytes) {
        if (finished) {
            return;
        }
        boolean fits =
                body.length() + bytes.length() <= MAX_WHOLE_BYTES
                        && bufferBudget.take(bytes.length());
        if (fits) {
            bufferedBytes += bytes.length();
            body.appendBuffer(bytes);
        } else {
            fail(RunState.RAN, "answer of over " + body.length() + " bytes has no end");
        }
    }

    private void receiveWhole(int status, String body) {
        if (!finished) {
            finish();
            inbox.accept(new RouterInput.ServiceAnswered(attempt, status, body));
        }
    }

    /** Handles the loss of the connection, after what was read of the answer before. */
    private void loseConnection(String detail, Throwable failure) {
        reader.ifPresentOrElse(
                reading -> reading.loseConnection(failure), () -> loseConnection(detail + failure));
    }

    private void loseConnection(String detail) {
        fail(RunState.UNKNOWN, detail, Cause.CONNECTION_LOST);
    }

    private void fail(RunState runState, String detail) {
        fail(runState, detail, Cause.OTHER);
    }

    private void fail(RunState runState, String detail, Cause cause) {
        if (!finished) {
            finish();
            reader.ifPresent(AnswerReader::stop);
            closeConnection();
            inbox.accept(
                    new RouterInput.AttemptFailed(
                            attempt, runState, endpoint + " " + detail, cause));
        }
    }

    private void finish() {
        finished = true;
        unansweredUse.ifPresent(
                use ->
                        note(
                                EventKind.ATTEMPT_UNANSWERED,
                                "connection="
                                        + use.connection()
                                        + " connectionUses="
                                        + use.uses()));
        unansweredUse = Optional.empty();
        bufferBudget.giveBack(bufferedBytes);
        bufferedBytes = 0;
    }
}
