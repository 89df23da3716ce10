package org.bramleylatch.edge;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.IoEvent;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandle;
import io.netty.channel.nio.NioIoOps;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.internal.ContextInternal;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.Pipe;
import java.nio.channels.SelectableChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bramleylatch.wire.Address;
import org.junit.jupiter.api.Test;

class EventLoopEndTest {
    private static final long AWAIT_SECONDS = 20;
    private static final int SILENCE_MILLIS = 500;
    private static final byte[] REQUEST =
            "GET / HTTP/1.1\r\nhost: a\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

    // Guards against a process that runs on after an error has ended its event loop, with open
    // connections on which requests are neither answered nor refused.
    @Test
    void anErrorThatEndsTheEventLoopAndLeavesConnectionsOpenIsTold() throws Exception {
        Context context = vertx.getOrCreateContext();
        HttpServer server =
                HttpServers.listen(
                                vertx,
                                new Address("127.0.0.1", 0),
                                request -> request.response().end("done"))
                        .join();
        CompletableFuture<Void> ended = EventLoopEnd.of(context);
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), server.actualPort())) {
            caller.getOutputStream().write(REQUEST);
            caller.getInputStream().read(new byte[1_024]);
            caller.setSoTimeout(SILENCE_MILLIS);
            throwInEventLoop((IoEventLoop) ((ContextInternal) context).nettyEventLoop());
            ended.get(AWAIT_SECONDS, TimeUnit.SECONDS);
            caller.getOutputStream().write(REQUEST);
            assertThatThrownBy(() -> caller.getInputStream().read())
                    .isInstanceOf(SocketTimeoutException.class);
        }
    }

    private static void throwInEventLoop(IoEventLoop loop) throws Exception {
        Pipe pipe = Pipe.open();
        pipe.source().configureBlocking(false);
        IoRegistration registration = loop.register(new Failing(pipe)).get();
        registration.submit(NioIoOps.READ);
        pipe.sink().write(ByteBuffer.wrap(new byte[1]));
    }

    private record Failing(Pipe pipe) implements NioIoHandle {
        @Override
        public SelectableChannel selectableChannel() {
            return pipe.source();
        }

        @Override
        public void handle(IoRegistration registration, IoEvent event) {
            throw new OutOfMemoryError("thrown by a test");
        }

        @Override
        public void close() {}
    }
}
