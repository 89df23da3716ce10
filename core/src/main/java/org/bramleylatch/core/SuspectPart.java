package org.bramleylatch.core;

/**
 * Names a part of a prompt that an endpoint had not begun to answer when it crashed, or the whole
 * request.
 *
 * @param depth the position of the part in its prompt, from 0; less for the whole request, which is
 *     blamed only if no part explains its crashes
 */
public record SuspectPart(PromptPartId id, int depth) {
    private static final int WHOLE_REQUEST_DEPTH = -1;

    /** Returns the suspect for a whole request. */
    static SuspectPart whole(PromptPartId id) {
        return new SuspectPart(id, WHOLE_REQUEST_DEPTH);
    }

    /** Returns true for a whole request. */
    boolean isWhole() {
        return depth == WHOLE_REQUEST_DEPTH;
    }

    /** Returns the occurrence with the greater depth. */
    SuspectPart deeper(SuspectPart other) {
        return other.depth > depth ? other : this;
    }
}
