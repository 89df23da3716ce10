package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * Queues messages between a world and the code around it that does I/O, first in, first out. That
 * code fills the inbox of a world and empties its outbox; the systems do the reverse. Not
 * thread-safe: only the thread that runs the tick may use a mailbox.
 *
 * @param <M> the message type, an immutable value
 */
public final class Mailbox<M> {
    private final Queue<M> messages = new ArrayDeque<>();

    private Mailbox() {}

    /** Creates a mailbox without messages. */
    public static <M> Mailbox<M> empty() {
        return new Mailbox<>();
    }

    /** Appends a message to the queue. */
    public void add(M message) {
        messages.add(requireNonNull(message));
    }

    /** Removes and returns up to {@code limit} messages, oldest first. */
    public List<M> take(int limit) {
        List<M> taken = new ArrayList<>(Math.min(limit, messages.size()));
        while (taken.size() < limit && !messages.isEmpty()) {
            taken.add(messages.remove());
        }
        return taken;
    }

    /** Returns the number of queued messages. */
    public int size() {
        return messages.size();
    }

    /** Returns true if no message is queued. */
    public boolean isEmpty() {
        return messages.isEmpty();
    }
}
