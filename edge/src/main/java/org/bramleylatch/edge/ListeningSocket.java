package org.bramleylatch.edge;

import io.netty.channel.Channel;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Closes the socket on which a server listens, which the runtime closes only together with the
 * connections that the server has accepted.
 */
public final class ListeningSocket {
    /** Lets the connections that wait be accepted, as the close resets them. */
    private static final long ACCEPT_MILLIS = 20;

    private final Channel channel;

    private ListeningSocket(Channel channel) {
        this.channel = channel;
    }

    /** Returns the socket that a server's connection was accepted from. */
    public static ListeningSocket of(HttpConnection accepted) {
        return new ListeningSocket(
                ((ConnectionBase) accepted).channelHandlerContext().channel().parent());
    }

    /**
     * Closes the socket.
     *
     * @return completes on the thread that accepts connections, once it accepts no more
     */
    public CompletableFuture<Void> close() {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        channel.closeFuture().addListener(done -> closed.complete(null));
        channel.eventLoop().schedule(() -> channel.close(), ACCEPT_MILLIS, TimeUnit.MILLISECONDS);
        return closed;
    }
}
