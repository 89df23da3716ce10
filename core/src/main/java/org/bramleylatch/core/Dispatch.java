package org.bramleylatch.core;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * Maps each type of message to the function that handles it.
 *
 * @param <M> the sealed family of messages
 * @param <R> what a handler returns
 */
public final class Dispatch<M, R> {
    private final Map<Class<? extends M>, Function<? super M, R>> handlers = new HashMap<>();

    private Dispatch() {}

    /** Returns a dispatch without handlers. */
    public static <M, R> Dispatch<M, R> empty() {
        return new Dispatch<>();
    }

    /** Adds the handler of one type and returns this dispatch. */
    public <T extends M> Dispatch<M, R> on(Class<T> type, Function<? super T, R> handler) {
        handlers.put(type, message -> handler.apply(type.cast(message)));
        return this;
    }

    /**
     * Returns what the handler of the message's type returns.
     *
     * @throws IllegalStateException if the type has no handler
     */
    public R apply(M message) {
        Function<? super M, R> handler = handlers.get(message.getClass());
        if (handler == null) {
            throw new IllegalStateException("no handler for " + message.getClass());
        }
        return handler.apply(message);
    }
}
