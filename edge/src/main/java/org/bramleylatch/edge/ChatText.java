package org.bramleylatch.edge;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Measures the text of chats. A token stands for four bytes of UTF-8, rounded up. */
public final class ChatText {
    /** The longest answer of a chat that names no bound, in tokens. */
    public static final long DEFAULT_MOST_TOKENS = 1_024;

    private static final int BYTES_PER_TOKEN = 4;
    private static final int PREFIX_CHARS = 256;
    private static final String[] WORDS = {
        "sisal ", "strand ", "lay ", "rope ", "futon ", "beat ", "dry ", "count ", "yard ", "care "
    };

    private ChatText() {}

    /** Returns the contents of all messages of a chat, one behind the other. */
    public static String prompt(JsonNode body) {
        StringBuilder text = new StringBuilder();
        body.path("messages").forEach(m -> text.append(m.path("content").asText()).append('\n'));
        return text.toString();
    }

    /** Returns the length of the text in tokens. */
    public static long tokens(String text) {
        int bytes = text.getBytes(StandardCharsets.UTF_8).length;
        return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }

    /** Returns a hash of the beginning of the text, by which engines cache it. */
    public static long prefixHash(String text) {
        String prefix = text.substring(0, Math.min(text.length(), PREFIX_CHARS));
        return Hashing.murmur3_128().hashUnencodedChars(prefix).asLong();
    }

    /** Returns how long a stand-in's answer to the prompt is, in tokens. */
    public static long answerLength(String prompt, long mostTokens) {
        long half = Math.max(1, mostTokens / 2);
        return half + Math.floorMod(prefixHash(prompt), Math.max(1, mostTokens - half));
    }

    /** Returns the word at the given position of a stand-in's answer. */
    public static String word(long position) {
        return WORDS[(int) (position % WORDS.length)];
    }
}
