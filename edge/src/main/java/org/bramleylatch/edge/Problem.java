package org.bramleylatch.edge;

import io.vertx.core.http.HttpServerResponse;
import java.util.Locale;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.RunState;
import org.bramleylatch.wire.Json;

/**
 * Is a refusal as callers see it, as application/problem+json.
 *
 * @param type names the code's row in docs/RESULT-CODES.md
 * @param title the name of the code
 * @param status the HTTP status
 * @param code the number of the code
 * @param run not_run, ran or unknown
 * @param detail for people
 */
public record Problem(String type, String title, int status, int code, String run, String detail) {
    private static final int RETRY_AFTER_SECONDS = 1;
    private static final int UNAVAILABLE = 503;

    /** Returns the refusal with the given code. */
    public static Problem of(ResultCode code, RunState run, String detail) {
        return new Problem(
                "urn:bramleylatch:result:" + code.number(),
                code.name(),
                code.httpStatus(),
                code.number(),
                run.name().toLowerCase(Locale.ROOT),
                detail);
    }

    /** Ends the response with this refusal. */
    public void send(HttpServerResponse response) {
        if (status == UNAVAILABLE) {
            response.putHeader("retry-after", Integer.toString(RETRY_AFTER_SECONDS));
        }
        response.setStatusCode(status)
                .putHeader("content-type", "application/problem+json")
                .end(Json.write(this));
    }
}
