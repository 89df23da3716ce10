package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Maps types of message to what is done with them; the others go to one common action.
 *
 * @param <M> the sealed family of messages
 */
public final class Actions<M> implements Consumer<M> {
    private final Map<Class<? extends M>, Consumer<M>> actions = new HashMap<>();
    private Consumer<M> otherwise = message -> {};

    private Actions() {}

    /** Returns actions that do nothing with any message. */
    public static <M> Actions<M> empty() {
        return new Actions<>();
    }

    /** Adds the action for one type and returns these actions. */
    public <T extends M> Actions<M> on(Class<T> type, Consumer<? super T> action) {
        actions.put(type, message -> action.accept(type.cast(message)));
        return this;
    }

    /** Sets the action for all other types and returns these actions. */
    public Actions<M> otherwise(Consumer<M> action) {
        otherwise = requireNonNull(action);
        return this;
    }

    @Override
    public void accept(M message) {
        actions.getOrDefault(message.getClass(), otherwise).accept(message);
    }
}
