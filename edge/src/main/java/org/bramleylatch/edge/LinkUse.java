package org.bramleylatch.edge;

/**
 * Counts the bytes of all connections of one use, such as those of callers.
 *
 * @param use what the connections are used for
 * @param readBytes the bytes read since the process started
 * @param writtenBytes the bytes written since the process started
 */
public record LinkUse(String use, long readBytes, long writtenBytes) {

    /** Returns a count of nothing. */
    static LinkUse unused(String use) {
        return new LinkUse(use, 0, 0);
    }

    LinkUse read(long bytes) {
        return new LinkUse(use, readBytes + bytes, writtenBytes);
    }

    LinkUse written(long bytes) {
        return new LinkUse(use, readBytes, writtenBytes + bytes);
    }

    /** Returns what was moved since an earlier count of the same use. */
    public LinkUse since(LinkUse earlier) {
        return new LinkUse(use, readBytes - earlier.readBytes, writtenBytes - earlier.writtenBytes);
    }
}
