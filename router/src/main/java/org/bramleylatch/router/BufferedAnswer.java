package org.bramleylatch.router;

import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Map;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.RunState;
import org.bramleylatch.edge.Problem;
import org.bramleylatch.wire.Json;

/**
 * Collects the tokens of a chat that is not streamed and answers with one JSON body at the end.
 * Also holds service requests, whose answers {@link CallerServer} writes as the endpoint sent them.
 */
final class BufferedAnswer extends CallerExchange {
    private final String id;
    private final String model;
    private final StringBuilder text = new StringBuilder();

    BufferedAnswer(
            HttpServerRequest request, String body, long arrivedMillis, String id, String model) {
        super(request, body, arrivedMillis);
        this.id = id;
        this.model = model;
    }

    @Override
    void deliverTokens(String newText) {
        text.append(newText);
    }

    @Override
    void finish(String reason, long promptTokens, long answerTokens) {
        Map<String, Object> message = Map.of("role", "assistant", "content", text.toString());
        Map<String, Object> choice =
                Map.of("index", 0, "message", message, "finish_reason", reason);
        Map<String, Object> answer =
                Map.of(
                        "id",
                        id,
                        "object",
                        "chat.completion",
                        "created",
                        arrivedMillis() / 1_000,
                        "model",
                        model,
                        "choices",
                        List.of(choice),
                        "usage",
                        ChatUsage.of(promptTokens, answerTokens));
        response().putHeader("content-type", "application/json").end(Json.write(answer));
    }

    @Override
    void refuse(ResultCode code, RunState runState, String detail) {
        Problem.of(code, runState, detail).send(response());
    }
}
