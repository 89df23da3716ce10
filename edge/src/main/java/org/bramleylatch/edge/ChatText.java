package org.bramleylatch.edge;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Measures the text of chats, and derives the answers that simulated engines give. A token is
 * counted as four bytes of UTF-8, rounded up.
 */
public final class ChatText {
    /** Limits the answer, in tokens, of a chat request that sets no limit. */
    public static final long DEFAULT_MAX_ANSWER_TOKENS = 1_024;

    private static final int BYTES_PER_TOKEN = 4;
    private static final int PREFIX_CHARS = 256;
    private static final String[] WORDS = {
        "sisal ", "strand ", "lay ", "rope ", "futon ", "beat ", "dry ", "count ", "yard ", "care "
    };

    private ChatText() {}

    /** Concatenates the contents of all messages of a chat, each followed by a line feed. */
    public static String promptText(JsonNode body) {
        StringBuilder text = new StringBuilder();
        body.path("messages")
                .forEach(message -> text.append(message.path("content").asText()).append('\n'));
        return text.toString();
    }

    /** Counts the tokens of a text: its UTF-8 bytes divided by four, rounded up. */
    public static long countTokens(String text) {
        int bytes = text.getBytes(StandardCharsets.UTF_8).length;
        return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }

    /** Hashes the first 256 characters of a text; engines cache prompt prefixes by this hash. */
    public static long prefixHash(String text) {
        String prefix = text.substring(0, Math.min(text.length(), PREFIX_CHARS));
        return Hashing.murmur3_128().hashUnencodedChars(prefix).asLong();
    }

    /**
     * Derives the length of a simulated answer from the prompt prefix, so that equal prompts get
     * answers of equal length.
     *
     * @return a length in tokens, between half of the maximum and the maximum
     */
    public static long simulatedAnswerTokens(String prompt, long maxTokens) {
        long half = Math.max(1, maxTokens / 2);
        return half + Math.floorMod(prefixHash(prompt), Math.max(1, maxTokens - half));
    }

    /** Returns the word at the given token position of a simulated answer. */
    public static String simulatedWord(long position) {
        return WORDS[(int) (position % WORDS.length)];
    }
}
