package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * Holds typed messages between an edge and a world, in order of arrival. The inbox of a world is
 * filled by edges and emptied by systems; the outbox the other way round.
 *
 * @param <M> the message, an immutable value
 */
public final class Mailbox<M> {
    private final Queue<M> messages = new ArrayDeque<>();

    private Mailbox() {}

    /** Returns a mailbox without messages. */
    public static <M> Mailbox<M> empty() {
        return new Mailbox<>();
    }

    /** Adds a message behind the others. */
    public void add(M message) {
        messages.add(requireNonNull(message));
    }

    /** Removes and returns at most the given number of messages, oldest first. */
    public List<M> take(int most) {
        List<M> taken = new ArrayList<>(Math.min(most, messages.size()));
        while (taken.size() < most && !messages.isEmpty()) {
            taken.add(messages.remove());
        }
        return taken;
    }

    /** Returns the number of messages. */
    public int size() {
        return messages.size();
    }

    /** Returns true if there is no message. */
    public boolean isEmpty() {
        return messages.isEmpty();
    }
}
