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
import org.bramleylatch.wire.Compact;

/** Serves the links of routers; each is one gRPC call with a stream each way. */
public final class RouterLinks {
    private static final String GRPC_TYPE = "application/grpc";

    private final Incarnation self;
    private final HybridClock order;
    private final Consumer<KeeperInput> world;
    private final GrpcServer server;
    private final Map<Incarnation, GrpcServerRequest<Buffer, Buffer>> links = new HashMap<>();

    /** Makes the links; none is open yet. */
    public RouterLinks(
            Vertx vertx, Incarnation self, HybridClock order, Consumer<KeeperInput> world) {
        this.self = self;
        this.order = order;
        this.world = world;
        this.server = GrpcServer.server(vertx);
        server.callHandler(KeeperProtocol.server(), this::accept);
    }

    /** Returns true if the request opens a link. */
    public boolean accepts(HttpServerRequest request) {
        String type = request.getHeader("content-type");
        return type != null && type.startsWith(GRPC_TYPE);
    }

    /** Opens a link. */
    public void handle(HttpServerRequest request) {
        server.handle(request);
    }

    /** Sends a message to the router that it is for; it is dropped if that router is gone. */
    public void send(KeeperOutput.ToRouter output) {
        Optional.ofNullable(links.get(output.router())).ifPresent(link -> write(link, output));
    }

    private void write(GrpcServerRequest<Buffer, Buffer> link, KeeperOutput output) {
        FromKeeper message = new FromKeeper(order.next(), output);
        link.response().write(Buffer.buffer(Compact.write(message)));
    }

    private void accept(GrpcServerRequest<Buffer, Buffer> call) {
        Link link = new Link(call);
        call.handler(link::take);
        call.endHandler(end -> link.lose());
        call.exceptionHandler(failure -> link.lose());
    }

    /** Is one router's link. */
    private final class Link {
        private final GrpcServerRequest<Buffer, Buffer> call;
        private Optional<Incarnation> router = Optional.empty();

        Link(GrpcServerRequest<Buffer, Buffer> call) {
            this.call = call;
        }

        void take(Buffer bytes) {
            if (router.isEmpty()) {
                greet(Compact.read(bytes.getBytes(), Hello.class));
            } else {
                ToKeeper message = Compact.read(bytes.getBytes(), ToKeeper.class);
                order.seen(message.order());
                world.accept(message.message());
            }
        }

        void lose() {
            router.filter(id -> links.remove(id, call))
                    .map(KeeperInput.RouterLost::new)
                    .ifPresent(world);
        }

        private void greet(Hello hello) {
            order.seen(hello.order());
            router = Optional.of(hello.incarnation());
            links.put(hello.incarnation(), call);
            Hello answer = new Hello(self, order.next());
            call.response().write(Buffer.buffer(Compact.write(answer)));
            world.accept(new KeeperInput.RouterSeen(hello.incarnation()));
        }
    }
}
