package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/** Holds the number of tokens that one request used. */
public record Usage(RequestKey key, long tokens) {

    /** Throws an exception if the key is null or the tokens are negative. */
    public Usage {
        requireNonNull(key, "key");
        if (tokens < 0) {
            throw new IllegalArgumentException("tokens are negative: " + tokens);
        }
    }

    /** Returns the usage of the request with the given key, in tokens. */
    public static Usage of(RequestKey key, long tokens) {
        return new Usage(key, tokens);
    }
}
