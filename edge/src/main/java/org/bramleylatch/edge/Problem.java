package org.bramleylatch.edge;

import io.vertx.core.http.HttpServerResponse;
import java.util.Locale;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.RunState;
import org.bramleylatch.wire.Json;

/**
 * Describes a refusal to a caller, as the body of an application/problem+json response (RFC 9457).
 *
 * @param type a URN with the number of the code, documented in docs/RESULT-CODES.md
 * @param title the name of the result code
 * @param status the HTTP status
 * @param code the number of the result code
 * @param run whether the request ran: not_run, ran or unknown
 * @param detail an explanation for people
 */
public record Problem(String type, String title, int status, int code, String run, String detail) {
    private static final int RETRY_AFTER_SECONDS = 1;
    private static final int STATUS_UNAVAILABLE = 503;

    /** Creates the refusal with the given code. */
    public static Problem of(ResultCode code, RunState run, String detail) {
        return new Problem(
                "urn:bramleylatch:result:" + code.number(),
                code.name(),
                code.httpStatus(),
                code.number(),
                run.name().toLowerCase(Locale.ROOT),
                detail);
    }

    /** Ends the response with this refusal; status 503 adds the header retry-after. */
    public void send(HttpServerResponse response) {
        if (status == STATUS_UNAVAILABLE) {
            response.putHeader("retry-after", Integer.toString(RETRY_AFTER_SECONDS));
        }
        response.setStatusCode(status)
                .putHeader("content-type", "application/problem+json")
                .end(Json.write(this));
    }
}
