package org.bramleylatch.router;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.RunState;

/** Is a caller's side of one request: the body that was sent and the answer that is written. */
abstract class Exchange {
    private final HttpServerRequest request;
    private final String body;
    private final long arrivedMillis;

    Exchange(HttpServerRequest request, String body, long arrivedMillis) {
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

    /** Passes tokens on. */
    abstract void tokens(String text);

    /** Ends a whole answer. */
    abstract void finish(String reason, long promptTokens, long answerTokens);

    /** Refuses the request, or breaks its answer off. */
    abstract void refuse(ResultCode code, RunState ran, String detail);
}
