package org.bramleylatch.edge;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;

/**
 * Defines what routers and engines exchange beyond the chat-completions API: the id of the attempt,
 * the position of each token, and whether a refused request ran.
 */
public final class EngineProtocol {
    /** Names the header that carries the id of the attempt to the engine. */
    public static final String ATTEMPT_HEADER = "x-attempt-id";

    /** Names the header with the token position from which an answer is resumed. */
    public static final String RESUME_POSITION_HEADER = "x-resume-position";

    /** Names the response header that says whether a refused request ran. */
    public static final String RUN_STATE_HEADER = "x-run";

    /** States in the run-state header that a refused request was not run. */
    public static final String RUN_STATE_NOT_RUN = "not_run";

    /** States in the run-state header that a refused request may have run. */
    public static final String RUN_STATE_UNKNOWN = "unknown";

    /** Ends a stream of server-sent events. */
    public static final String DONE_EVENT = "data: [DONE]\n\n";

    private EngineProtocol() {}

    /**
     * Returns the token position from which the answer is requested; 0 without the header.
     *
     * @throws NumberFormatException if the header is not a number
     */
    public static long resumePosition(HttpServerRequest request) {
        String header = request.getHeader(RESUME_POSITION_HEADER);
        return header == null ? 0 : Long.parseLong(header);
    }

    /** Builds the event that carries one token; the text is inserted unescaped. */
    public static String tokenEvent(String attempt, long position, String text) {
        return "data: {\"id\":\""
                + attempt
                + "\",\"object\":\"chat.completion.chunk\",\"position\":"
                + position
                + ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
                + text
                + "\"},\"finish_reason\":null}]}\n\n";
    }

    /**
     * Builds the event that ends an answer and reports its usage.
     *
     * @param position the length of the whole answer, in tokens
     */
    public static String endEvent(String attempt, long position, long promptTokens) {
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
     * Reports the load of an engine.
     *
     * @param heldTokens the worst-case memory use of its current requests
     * @param maxHeldTokens the highest value that {@code heldTokens} has reached
     * @param leaving true if it accepts no new requests
     * @param prefixHashes hashes of the prompt prefixes that it caches
     */
    public record Load(
            long heldTokens,
            @JsonProperty("mostHeldTokens") long maxHeldTokens,
            boolean leaving,
            @JsonProperty("prefixes") List<Long> prefixHashes) {}
}
