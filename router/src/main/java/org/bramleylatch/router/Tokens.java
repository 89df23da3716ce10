package org.bramleylatch.router;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Is the usage of a chat as its API tells it, in tokens. */
record Tokens(
        @JsonProperty("prompt_tokens") long promptTokens,
        @JsonProperty("completion_tokens") long answerTokens,
        @JsonProperty("total_tokens") long totalTokens) {

    static Tokens of(long promptTokens, long answerTokens) {
        return new Tokens(promptTokens, answerTokens, promptTokens + answerTokens);
    }
}
