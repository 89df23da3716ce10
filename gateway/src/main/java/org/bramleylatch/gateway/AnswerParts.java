package org.bramleylatch.gateway;

import io.vertx.core.buffer.Buffer;
import java.util.OptionalInt;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Says what becomes of the parts of an answer as it is read.
 *
 * @param append takes the next bytes
 * @param handleNext handles the next piece of those bytes; returns its length in bytes, or empty if
 *     none is complete
 * @param end is called after the last piece of a complete answer
 * @param lose is called with the failure after the last piece of an answer whose connection broke
 * @param hold is called each time before reading stops for a while
 */
record AnswerParts(
        Consumer<Buffer> append,
        Supplier<OptionalInt> handleNext,
        Runnable end,
        Consumer<Throwable> lose,
        Runnable hold) {}
