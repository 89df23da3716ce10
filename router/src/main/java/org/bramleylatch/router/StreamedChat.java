package org.bramleylatch.router;

import io.vertx.core.http.HttpServerRequest;
import java.util.Map;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.RunState;
import org.bramleylatch.edge.EngineProtocol;
import org.bramleylatch.edge.Problem;
import org.bramleylatch.wire.Json;

/** Answers a chat as a stream of events. */
final class StreamedChat extends Exchange {
    private static final int WRITE_QUEUE_BYTES = 16 * 1024;

    private final String prefix;
    private boolean begun;

    StreamedChat(
            HttpServerRequest request, String body, long arrivedMillis, String id, String model) {
        super(request, body, arrivedMillis);
        this.prefix =
                "data: {\"id\":"
                        + Json.write(id)
                        + ",\"object\":\"chat.completion.chunk\",\"created\":"
                        + arrivedMillis / 1_000
                        + ",\"model\":"
                        + Json.write(model)
                        + ",\"choices\":[{\"index\":0,\"delta\":";
    }

    @Override
    void tokens(String text) {
        begin();
        response()
                .write(
                        prefix
                                + "{\"content\":"
                                + Json.write(text)
                                + "},\"finish_reason\":null}]}\n\n");
    }

    @Override
    void finish(String reason, long promptTokens, long answerTokens) {
        begin();
        response()
                .end(
                        prefix
                                + "{},\"finish_reason\":"
                                + Json.write(reason)
                                + "}],\"usage\":"
                                + Json.write(Tokens.of(promptTokens, answerTokens))
                                + "}\n\n"
                                + EngineProtocol.DONE);
    }

    @Override
    void refuse(ResultCode code, RunState ran, String detail) {
        Problem problem = Problem.of(code, ran, detail);
        if (begun) {
            response().end("data: " + Json.write(Map.of("error", problem)) + "\n\n");
        } else {
            problem.send(response());
        }
    }

    private void begin() {
        if (!begun) {
            begun = true;
            response()
                    .setChunked(true)
                    .setWriteQueueMaxSize(WRITE_QUEUE_BYTES)
                    .putHeader("content-type", "text/event-stream")
                    .putHeader("cache-control", "no-cache");
        }
    }
}
