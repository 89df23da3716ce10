package org.bramleylatch.core;

import com.google.common.hash.Hashing;
import java.util.Optional;
import java.util.UUID;

/**
 * Identifies a request across retries and routers. The value is a version 7 UUID, which contains
 * the time at which the caller made it; expiry compares that time with the time of the log.
 *
 * @param high the upper 64 bits, which begin with the time
 * @param low the lower 64 bits
 */
public record RequestKey(long high, long low) {
    private static final int TIME_ORDERED_VERSION = 7;
    private static final int TIME_SHIFT_BITS = 16;
    private static final int VERSION_SHIFT_BITS = 12;
    private static final int RANDOM_SHIFT_BITS = 52;
    private static final long VARIANT_BITS = 0x8000000000000000L;
    private static final long RANDOM_BITS = 0x3fffffffffffffffL;

    /** Parses the text; empty if it is not a version 7 UUID. */
    public static Optional<RequestKey> parse(String text) {
        return uuid(text)
                .filter(uuid -> uuid.version() == TIME_ORDERED_VERSION)
                .map(RequestKey::of);
    }

    /**
     * Returns the key with the given time and random bits.
     *
     * @param issuedMillis when the request was made, in milliseconds since the epoch
     * @param random 64 random bits
     */
    public static RequestKey of(long issuedMillis, long random) {
        long version = (long) TIME_ORDERED_VERSION << VERSION_SHIFT_BITS;
        long high = (issuedMillis << TIME_SHIFT_BITS) | version | (random >>> RANDOM_SHIFT_BITS);
        return new RequestKey(high, (random & RANDOM_BITS) | VARIANT_BITS);
    }

    /** Returns when the caller made the key, in milliseconds since the epoch. */
    public long issuedMillis() {
        return high >>> TIME_SHIFT_BITS;
    }

    /**
     * Returns the key with its random bits combined with the budget id, so that equal keys of two
     * members do not collide. Its time is unchanged.
     */
    public RequestKey scopedTo(BudgetId budget) {
        long mixed = low ^ Hashing.murmur3_128().hashUnencodedChars(budget.value()).asLong();
        return new RequestKey(high, (mixed & RANDOM_BITS) | VARIANT_BITS);
    }

    @Override
    public String toString() {
        return new UUID(high, low).toString();
    }

    private static RequestKey of(UUID uuid) {
        return new RequestKey(uuid.getMostSignificantBits(), uuid.getLeastSignificantBits());
    }

    private static Optional<UUID> uuid(String text) {
        try {
            return Optional.of(UUID.fromString(text));
        } catch (IllegalArgumentException notAnUuid) {
            return Optional.empty();
        }
    }
}
