package org.bramleylatch.core;

/**
 * Names a part of a prompt that an endpoint had not begun to answer when it crashed.
 *
 * @param depth the position of the part in its prompt, from 0
 */
public record SuspectPart(PromptPartId id, int depth) {

    /** Returns the occurrence with the greater depth. */
    SuspectPart deeper(SuspectPart other) {
        return other.depth > depth ? other : this;
    }
}
