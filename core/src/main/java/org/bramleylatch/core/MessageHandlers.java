package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Maps each message type to the handler that consumes it; other types go to a default handler. A
 * {@link Dispatch} has no default and returns the result of the handler.
 *
 * @param <M> the sealed family of messages
 */
public final class MessageHandlers<M> implements Consumer<M> {
    private final Map<Class<? extends M>, Consumer<M>> handlers = new HashMap<>();
    private Consumer<M> defaultHandler = message -> {};

    private MessageHandlers() {}

    /** Returns an empty map, which ignores every message. */
    public static <M> MessageHandlers<M> empty() {
        return new MessageHandlers<>();
    }

    /** Sets the handler of one exact type, replacing an earlier one; returns this object. */
    public <T extends M> MessageHandlers<M> on(Class<T> type, Consumer<? super T> handler) {
        handlers.put(type, message -> handler.accept(type.cast(message)));
        return this;
    }

    /** Sets the handler of all other types; returns this object. */
    public MessageHandlers<M> otherwise(Consumer<M> handler) {
        defaultHandler = requireNonNull(handler);
        return this;
    }

    @Override
    public void accept(M message) {
        handlers.getOrDefault(message.getClass(), defaultHandler).accept(message);
    }
}
