package org.bramleylatch.core;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiFunction;

/**
 * Maps each message type to the function that handles it in a tick. Unlike a {@link Dispatch},
 * whose handlers belong to one tick, it is built once for all ticks.
 *
 * @param <T> what the handlers of a tick share, such as the world and the time
 * @param <M> the sealed interface of the messages
 */
final class TickDispatch<T, M> {
    private final Map<Class<? extends M>, BiFunction<T, ? super M, Boolean>> handlers =
            new HashMap<>();

    private TickDispatch() {}

    /** Creates a dispatch table without handlers. */
    static <T, M> TickDispatch<T, M> empty() {
        return new TickDispatch<>();
    }

    /**
     * Registers the handler of exactly one message type; subtypes need their own.
     *
     * @param handler returns false if it refused or ignored the message
     * @return this dispatch table
     */
    <S extends M> TickDispatch<T, M> on(Class<S> type, BiFunction<T, ? super S, Boolean> handler) {
        handlers.put(type, (tick, message) -> handler.apply(tick, type.cast(message)));
        return this;
    }

    /**
     * Calls the handler of the message's type.
     *
     * @throws IllegalStateException if the type has no handler
     */
    void apply(T tick, M message) {
        BiFunction<T, ? super M, Boolean> handler = handlers.get(message.getClass());
        if (handler == null) {
            throw new IllegalStateException("no handler for " + message.getClass());
        }
        handler.apply(tick, message);
    }
}
