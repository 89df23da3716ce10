package org.bramleylatch.core;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * Maps each message type to the function that handles it and returns its result. A message without
 * a handler is an error; {@link MessageHandlers} has a default handler and returns no result.
 *
 * @param <M> the sealed interface of the messages
 * @param <R> the result type of the handlers
 */
public final class Dispatch<M, R> {
    private final Map<Class<? extends M>, Function<? super M, R>> handlers = new HashMap<>();

    private Dispatch() {}

    /** Creates a dispatch table without handlers. */
    public static <M, R> Dispatch<M, R> empty() {
        return new Dispatch<>();
    }

    /**
     * Registers the handler of exactly one message type; subtypes need their own. A second handler
     * for the same type replaces the first.
     *
     * @return this dispatch table
     */
    public <T extends M> Dispatch<M, R> on(Class<T> type, Function<? super T, R> handler) {
        handlers.put(type, message -> handler.apply(type.cast(message)));
        return this;
    }

    /**
     * Calls the handler of the message's type and returns its result.
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
