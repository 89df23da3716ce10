package org.bramleylatch.edge;

import io.vertx.core.http.HttpServerRequest;
import java.util.List;

/**
 * Names what routers and engines say to each other beyond the chat-completions API: the attempt's
 * id, the position of each token, and whether a refused request ran.
 */
public final class EngineProtocol {
    /** Carries the attempt's id to the engine. */
    public static final String ATTEMPT = "x-attempt-id";

    /** Carries the position from which an answer is resumed. */
    public static final String POSITION = "x-resume-position";

    /** Tells whether a refused request ran. */
    public static final String RUN = "x-run";

    /** Means that a refused request was not run. */
    public static final String NOT_RUN = "not_run";

    /** Means that a refused request may have run. */
    public static final String UNKNOWN = "unknown";

    /** Ends a stream of events. */
    public static final String DONE = "data: [DONE]\n\n";

    private EngineProtocol() {}

    /** Returns the position from which the request wants the answer. */
    public static long position(HttpServerRequest request) {
        String text = request.getHeader(POSITION);
        return text == null ? 0 : Long.parseLong(text);
    }

    /** Returns the event that carries one token. */
    public static String token(String attempt, long position, String text) {
        return "data: {\"id\":\""
                + attempt
                + "\",\"object\":\"chat.completion.chunk\",\"position\":"
                + position
                + ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
                + text
                + "\"},\"finish_reason\":null}]}\n\n";
    }

    /** Returns the event that ends an answer of the given length. */
    public static String end(String attempt, long position, long promptTokens) {
        return "data: {\"id\":\""
                + attempt
                + "\",\"object\":\"chat.completion.chunk\",\"position\":"
                + position
                + ",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],"
                + "\"usage\":{\"prompt_tokens\":"
                + promptTokens
                + ",\"completion_tokens\":"
                + position
                + "}}\n\n";
    }

    /**
     * Is an engine's report of its load.
     *
     * @param heldTokens what its requests may need in memory
     * @param mostHeldTokens the most that it ever held
     * @param leaving true if it wants no new work
     * @param prefixes hashes of the prompt beginnings that it caches
     */
    public record Load(
            long heldTokens, long mostHeldTokens, boolean leaving, List<Long> prefixes) {}
}
