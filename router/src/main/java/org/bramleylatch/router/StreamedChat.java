package org.bramleylatch.router;

import io.vertx.core.http.HttpServerRequest;
import java.util.Map;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.RunState;
import org.bramleylatch.edge.EngineProtocol;
import org.bramleylatch.edge.Problem;
import org.bramleylatch.wire.Json;

/** Answers a chat as a stream of server-sent events; the head is sent with the first token. */
final class StreamedChat extends CallerExchange {
    private static final int WRITE_QUEUE_BYTES = 16 * 1024;

    private final String eventPrefix;
    private boolean started;

    StreamedChat(
            HttpServerRequest request, String body, long arrivedMillis, String id, String model) {
        super(request, body, arrivedMillis);
        this.eventPrefix =
                "data: {\"id\":"
                        + Json.write(id)
                        + ",\"object\":\"chat.completion.chunk\",\"created\":"
                        + arrivedMillis / 1_000
                        + ",\"model\":"
                        + Json.write(model)
                        + ",\"choices\":[{\"index\":0,\"delta\":";
    }

    @Override
    void deliverTokens(String text) {
        startStream();
        response()
                .write(
                        eventPrefix
                                + "{\"content\":"
                                + Json.write(text)
                                + "},\"finish_reason\":null}]}\n\n");
    }

    @Override
    void finish(String reason, long promptTokens, long answerTokens) {
        startStream();
        response()
                .end(
                        eventPrefix
                                + "{},\"finish_reason\":"
                                + Json.write(reason)
                                + "}],\"usage\":"
                                + Json.write(ChatUsage.of(promptTokens, answerTokens))
                                + "}\n\n"
                                + EngineProtocol.DONE_EVENT);
    }

    @Override
    void refuse(ResultCode code, RunState runState, String detail) {
        Problem problem = Problem.of(code, runState, detail);
        if (started) {
            response().end("data: " + Json.write(Map.of("error", problem)) + "\n\n");
        } else {
            problem.send(response());
        }
    }

    private void startStream() {
        if (!started) {
            started = true;
            response()
                    .setChunked(true)
                    .setWriteQueueMaxSize(WRITE_QUEUE_BYTES)
                    .putHeader("content-type", "text/event-stream")
                    .putHeader("cache-control", "no-cache");
        }
    }
}
