package org.bramleylatch.gateway;

import java.util.function.IntSupplier;

/**
 * Divides what the event loop handles of answers among the open attempts. Each attempt has a share
 * of every slice of time; an answer that has more waits for the next slice.
 *
 * @param openAttempts returns the number of attempts that divide a slice
 */
record LoopShare(IntSupplier openAttempts) {
    /** A tenth of the time that callers accept between two tokens. */
    static final long SLICE_MILLIS = 5;

    /**
     * Allows 25,000 events per second, each in a chunk of its own: ten times the share of one
     * gateway in the tokens that the fleet is designed for.
     */
    static final int PIECES_PER_SLICE = 256;

    /** Allows 1,600 events per second, faster than any model generates them for one caller. */
    static final int MIN_PIECES = 16;

    /** Small events count as one piece, so that many long ones can't take more time than those. */
    private static final int BYTES_PER_PIECE = 4 * 1024;

    /** Returns the number of pieces that one attempt may hand over in a slice. */
    int pieces() {
        return Math.max(MIN_PIECES, PIECES_PER_SLICE / Math.max(1, openAttempts.getAsInt()));
    }

    /** Returns what a chunk or an event counts for, in pieces. */
    static int piecesOf(int bytes) {
        return 1 + bytes / BYTES_PER_PIECE;
    }
}
