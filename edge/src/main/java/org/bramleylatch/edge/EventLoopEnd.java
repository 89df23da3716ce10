package org.bramleylatch.edge;

import io.vertx.core.Context;
import io.vertx.core.internal.ContextInternal;
import java.util.concurrent.CompletableFuture;

/**
 * Tells when an event loop has ended. An error outside of all handlers, such as an exhausted heap,
 * ends it and leaves its connections open, on which nothing is read any more.
 */
public final class EventLoopEnd {

    private EventLoopEnd() {}

    /** Returns a future that completes once the event loop of the context has ended. */
    public static CompletableFuture<Void> of(Context context) {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        ((ContextInternal) context)
                .nettyEventLoop()
                .terminationFuture()
                .addListener(done -> ended.complete(null));
        return ended;
    }
}
