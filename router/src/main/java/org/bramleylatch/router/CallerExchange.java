package org.bramleylatch.router;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.RunState;

/**
 * Holds the HTTP request of one caller and writes its answer in the form that the caller asked for.
 */
abstract class CallerExchange {
    private final HttpServerRequest request;
    private final String body;
    private final long arrivedMillis;

    CallerExchange(HttpServerRequest request, String body, long arrivedMillis) {
        this.request = request;
        this.body = body;
        this.arrivedMillis = arrivedMillis;
    }

    HttpServerRequest request() {
        return request;
    }

    HttpServerResponse response() {
        return request.response();
    }

    String body() {
        return body;
    }

    long arrivedMillis() {
        return arrivedMillis;
    }

    /** Adds text to the answer. */
    abstract void deliverTokens(String text);

    /** Completes the answer with its finish reason and its usage in tokens. */
    abstract void finish(String reason, long promptTokens, long answerTokens);

    /**
     * Answers with a problem document, or adds an error to an answer that has begun and ends it.
     */
    abstract void refuse(ResultCode code, RunState runState, String detail);
}
