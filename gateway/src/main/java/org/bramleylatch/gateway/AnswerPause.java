package org.bramleylatch.gateway;

import io.vertx.core.streams.ReadStream;
import java.util.EnumSet;
import java.util.Set;

/** Pauses an answer as long as at least one reason to do so holds. */
final class AnswerPause {
    private final ReadStream<?> answer;
    private final Set<Reason> reasons = EnumSet.noneOf(Reason.class);

    /** Says why an answer is not read on. */
    enum Reason {
        /** The caller reads more slowly than the endpoint writes. */
        SLOW_CALLER,
        /** The answer used up its share of the event loop. */
        SHARE_USED
    }

    /** Creates a pause without a reason; the answer is read. */
    AnswerPause(ReadStream<?> answer) {
        this.answer = answer;
    }

    /** Adds a reason; stops reading if it is the only one. */
    void add(Reason reason) {
        reasons.add(reason);
        answer.pause();
    }

    /** Removes a reason; the answer stays paused until {@link #resumeIfAllowed}. */
    void remove(Reason reason) {
        reasons.remove(reason);
    }

    /** Reads on unless a reason holds. */
    void resumeIfAllowed() {
        if (reasons.isEmpty()) {
            answer.resume();
        }
    }

    /** Returns true if a reason holds. */
    boolean isPaused() {
        return !reasons.isEmpty();
    }
}
