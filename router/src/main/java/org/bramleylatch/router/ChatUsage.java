package org.bramleylatch.router;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Holds the usage of a chat in tokens, as the {@code usage} object of the chat completions API. */
record ChatUsage(
        @JsonProperty("prompt_tokens") long promptTokens,
        @JsonProperty("completion_tokens") long answerTokens,
        @JsonProperty("total_tokens") long totalTokens) {

    static ChatUsage of(long promptTokens, long answerTokens) {
        return new ChatUsage(promptTokens, answerTokens, promptTokens + answerTokens);
    }
}
