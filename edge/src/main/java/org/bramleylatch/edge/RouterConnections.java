package org.bramleylatch.edge;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.grpc.server.GrpcServer;
import io.vertx.grpc.server.GrpcServerRequest;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.wire.Cbor;

/** Serves the connections of routers; each is one bidirectional gRPC call. */
public final class RouterConnections {
    private static final String GRPC_CONTENT_TYPE = "application/grpc";

    private final Incarnation self;
    private final HybridLogicalClock hybridClock;
    private final Consumer<KeeperInput> keeperInbox;
    private final GrpcServer server;
    private final Map<Incarnation, GrpcServerRequest<Buffer, Buffer>> callsByRouter =
            new HashMap<>();

    /**
     * Creates the server, without any connection.
     *
     * @param keeperInbox receives the messages of routers and changes of their connections
     */
    public RouterConnections(
            Vertx vertx,
            Incarnation self,
            HybridLogicalClock hybridClock,
            Consumer<KeeperInput> keeperInbox) {
        this.self = self;
        this.hybridClock = hybridClock;
        this.keeperInbox = keeperInbox;
        this.server = GrpcServer.server(vertx);
        server.callHandler(KeeperProtocol.serverMethod(), this::accept);
    }

    /** Returns true if the content type of the request is gRPC. */
    public boolean isGrpcRequest(HttpServerRequest request) {
        String type = request.getHeader("content-type");
        return type != null && type.startsWith(GRPC_CONTENT_TYPE);
    }

    /** Serves a gRPC request, which opens a connection. */
    public void handle(HttpServerRequest request) {
        server.handle(request);
    }

    /** Sends a message to its router; drops it if that router is not connected. */
    public void send(KeeperOutput.ToRouter output) {
        Optional.ofNullable(callsByRouter.get(output.router()))
                .ifPresent(call -> write(call, output));
    }

    private void write(GrpcServerRequest<Buffer, Buffer> call, KeeperOutput output) {
        FromKeeperEnvelope envelope = new FromKeeperEnvelope(hybridClock.next(), output);
        call.response().write(Buffer.buffer(Cbor.write(envelope)));
    }

    private void accept(GrpcServerRequest<Buffer, Buffer> call) {
        Connection connection = new Connection(call);
        call.handler(connection::receive);
        call.endHandler(end -> connection.handleDisconnect());
        call.exceptionHandler(failure -> connection.handleDisconnect());
    }

    /** Serves the connection of one router, which is unknown until its hello arrives. */
    private final class Connection {
        private final GrpcServerRequest<Buffer, Buffer> call;
        private Optional<Incarnation> router = Optional.empty();

        Connection(GrpcServerRequest<Buffer, Buffer> call) {
            this.call = call;
        }

        void receive(Buffer bytes) {
            if (router.isEmpty()) {
                acceptHello(Cbor.read(bytes.getBytes(), Hello.class));
            } else {
                ToKeeperEnvelope envelope = Cbor.read(bytes.getBytes(), ToKeeperEnvelope.class);
                hybridClock.observe(envelope.order());
                keeperInbox.accept(envelope.message());
            }
        }

        void handleDisconnect() {
            router.filter(incarnation -> callsByRouter.remove(incarnation, call))
                    .map(KeeperInput.RouterDisconnected::new)
                    .ifPresent(keeperInbox);
        }

        private void acceptHello(Hello hello) {
            hybridClock.observe(hello.order());
            router = Optional.of(hello.incarnation());
            callsByRouter.put(hello.incarnation(), call);
            Hello reply = new Hello(self, hybridClock.next());
            call.response().write(Buffer.buffer(Cbor.write(reply)));
            keeperInbox.accept(new KeeperInput.RouterConnected(hello.incarnation()));
        }
    }
}
