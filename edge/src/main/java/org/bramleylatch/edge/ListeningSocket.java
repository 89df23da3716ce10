package org.bramleylatch.edge;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Closes the socket on which a server listens, which the runtime closes only together with the
 * connections that the server has accepted.
 */
public final class ListeningSocket {
    /** The event loop selects, and accepts, before it runs a timer that was set on it. */
    private static final long SELECT_MILLIS = 1;

    /** Each select accepts up to 16 connections; callers that go on connecting don't end it. */
    private static final int MAX_SELECTS = 64;

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
     * Closes the socket once no connection waits to be accepted, as the close resets those.
     *
     * @return completes on the thread that accepts connections, once callers can't connect any more
     */
    public CompletableFuture<Void> close() {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        // The selector closes the system's socket in its next select.
        channel.closeFuture().addListener(done -> afterSelect(() -> closed.complete(null)));
        channel.eventLoop().execute(this::beginClose);
        return closed;
    }

    private void beginClose() {
        AcceptCounter accepted = new AcceptCounter();
        channel.pipeline().addFirst(accepted);
        afterSelect(() -> closeOnceQuiet(accepted, 0, MAX_SELECTS));
    }

    private void closeOnceQuiet(AcceptCounter accepted, int acceptedBefore, int selectsLeft) {
        if (accepted.count == acceptedBefore || selectsLeft == 0) {
            channel.close();
        } else {
            int acceptedNow = accepted.count;
            afterSelect(() -> closeOnceQuiet(accepted, acceptedNow, selectsLeft - 1));
        }
    }

    /**
     * Must run on the event loop, which may run a late timer of another thread without a select.
     */
    private void afterSelect(Runnable task) {
        channel.eventLoop().schedule(task, SELECT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Counts connections on the thread that accepts them. */
    private static final class AcceptCounter extends ChannelInboundHandlerAdapter {
        private int count;

        @Override
        public void channelRead(ChannelHandlerContext context, Object connection) {
            count++;
            context.fireChannelRead(connection);
        }
    }
}
