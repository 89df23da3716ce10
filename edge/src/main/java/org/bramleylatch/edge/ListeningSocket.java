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
    /** The thread that accepts connections looks for new ones between two tasks that are timed. */
    private static final long PASS_MILLIS = 1;

    /** Each pass accepts 16 connections, so this exceeds the usual length of the queue. */
    private static final int MAX_PASSES = 64;

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
        // The system's socket stays open until the selector's next pass.
        channel.closeFuture().addListener(done -> afterPass(() -> closed.complete(null)));
        channel.eventLoop().execute(this::beginClose);
        return closed;
    }

    private void beginClose() {
        AcceptCounter accepted = new AcceptCounter();
        channel.pipeline().addFirst(accepted);
        afterPass(() -> closeOnceQuiet(accepted, 0, MAX_PASSES));
    }

    private void closeOnceQuiet(AcceptCounter accepted, int acceptedBefore, int passesLeft) {
        if (accepted.count == acceptedBefore || passesLeft == 0) {
            channel.close();
        } else {
            int acceptedNow = accepted.count;
            afterPass(() -> closeOnceQuiet(accepted, acceptedNow, passesLeft - 1));
        }
    }

    /** Must be called on the event loop: a late timer of another thread gets no pass before it. */
    private void afterPass(Runnable task) {
        channel.eventLoop().schedule(task, PASS_MILLIS, TimeUnit.MILLISECONDS);
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
