package org.bramleylatch.gateway;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.bramleylatch.core.ResultCode;

/** Reads the body of one request, or gives it up as soon as it exceeds a limit. */
final class BodyReader {
    private static final String CONTINUE = "100-continue";

    private final HttpServerRequest request;
    private final int maxBytes;
    private final RequestBody body;
    private final Consumer<ResultCode> onExcess;
    private boolean givenUp;

    /**
     * Creates a reader; nothing is read yet.
     *
     * @param onExcess receives the code of the limit that the body exceeds; the rest of the body is
     *     dropped
     */
    BodyReader(
            HttpServerRequest request,
            int maxBytes,
            RequestBody body,
            Consumer<ResultCode> onExcess) {
        this.request = request;
        this.maxBytes = maxBytes;
        this.body = body;
        this.onExcess = onExcess;
    }

    /**
     * Reads the body. Its memory is taken at once if the caller declares the length, so that bodies
     * that are read at the same time never wait for each other.
     *
     * @param onEnd runs once the body is complete, unless it was given up
     */
    void read(Runnable onEnd) {
        request.handler(this::append);
        request.endHandler(
                end -> {
                    if (!givenUp) {
                        onEnd.run();
                    }
                });
        declaredBytes(request).stream()
                .mapToObj(this::reserve)
                .flatMap(Optional::stream)
                .forEach(this::giveUp);
        if (!givenUp && expectsContinue()) {
            request.response().writeContinue();
        }
    }

    /** Returns true if the caller sends the body only once it was told to go on. */
    private boolean expectsContinue() {
        return request.version() == HttpVersion.HTTP_1_1
                && CONTINUE.equalsIgnoreCase(request.getHeader(HttpHeaders.EXPECT));
    }

    private void append(Buffer part) {
        if (givenUp) {
            return;
        }
        if (body.bytes().length() + part.length() > maxBytes) {
            giveUp(ResultCode.BODY_TOO_LARGE);
        } else if (!body.append(part)) {
            giveUp(ResultCode.OVERLOADED);
        }
    }

    private Optional<ResultCode> reserve(long length) {
        if (length > maxBytes) {
            return Optional.of(ResultCode.BODY_TOO_LARGE);
        }
        return body.reserve((int) length) ? Optional.empty() : Optional.of(ResultCode.OVERLOADED);
    }

    /** Drops the body and what still comes of it; its time or the memory is over. */
    void giveUp(ResultCode code) {
        givenUp = true;
        body.release();
        onExcess.accept(code);
    }

    /** Returns the length in the request's head; empty if the body ends with its last chunk. */
    static OptionalLong declaredBytes(HttpServerRequest request) {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        try {
            return length == null
                    ? OptionalLong.empty()
                    : OptionalLong.of(Long.parseLong(length.trim()));
        } catch (NumberFormatException malformed) {
            return OptionalLong.empty();
        }
    }
}
