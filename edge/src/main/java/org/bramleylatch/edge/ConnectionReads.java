package org.bramleylatch.edge;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Tells when bytes arrive on a server's connection, which the runtime tells of whole heads only.
 */
public final class ConnectionReads {

    private ConnectionReads() {}

    /** Runs the action each time bytes are read from the connection, before they are decoded. */
    public static void onRead(HttpConnection connection, Runnable action) {
        ((ConnectionBase) connection)
                .channelHandlerContext()
                .pipeline()
                .addFirst(new ReadHandler(action));
    }

    private static final class ReadHandler extends ChannelInboundHandlerAdapter {
        private final Runnable action;

        ReadHandler(Runnable action) {
            this.action = action;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            action.run();
            context.fireChannelRead(bytes);
        }
    }
}
