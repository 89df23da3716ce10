package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/** Tells how many tokens one request used. */
public record Usage(RequestKey key, long tokens) {

    /** Checks that the key is present and the tokens are not negative. */
    public Usage {
        requireNonNull(key, "key");
        if (tokens < 0) {
            throw new IllegalArgumentException("tokens are negative: " + tokens);
        }
    }

    /** Returns the usage of the given request, in tokens. */
    public static Usage of(RequestKey key, long tokens) {
        return new Usage(key, tokens);
    }
}
