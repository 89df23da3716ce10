package org.bramleylatch.router;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.client.GrpcClientRequest;
import io.vertx.grpc.client.GrpcClientResponse;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.bramleylatch.core.Dispatch;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.edge.FromKeeper;
import org.bramleylatch.edge.Hello;
import org.bramleylatch.edge.HybridClock;
import org.bramleylatch.edge.KeeperProtocol;
import org.bramleylatch.edge.KeeperReplies;
import org.bramleylatch.edge.ToKeeper;
import org.bramleylatch.wire.Address;
import org.bramleylatch.wire.Compact;

/** Keeps a link to every keeper of the zone; a broken link is opened again. */
final class KeeperLinks {
    private static final long REOPEN_MILLIS = 200;

    private final Vertx vertx;
    private final Incarnation self;
    private final HybridClock order;
    private final List<Address> addresses;
    private final Consumer<RouterInput> inbox;
    private final GrpcClient client;
    private final Map<Incarnation, GrpcClientRequest<Buffer, Buffer>> links = new HashMap<>();

    KeeperLinks(
            Vertx vertx,
            Incarnation self,
            HybridClock order,
            List<Address> addresses,
            Consumer<RouterInput> inbox) {
        this.vertx = vertx;
        this.self = self;
        this.order = order;
        this.addresses = addresses;
        this.inbox = inbox;
        this.client = GrpcClient.client(vertx);
    }

    /** Opens a link to every keeper. */
    void begin() {
        addresses.forEach(address -> new Link(address).open());
    }

    /** Sends a message; it is dropped if the link is broken, which the world is told of. */
    void send(RouterOutput.ToKeeper output) {
        Optional.ofNullable(links.get(output.keeper()))
                .ifPresent(
                        link -> link.write(buffer(new ToKeeper(order.next(), output.message()))));
    }

    private static Buffer buffer(Object message) {
        return Buffer.buffer(Compact.write(message));
    }

    /** Is the link to the keeper at one address. */
    private final class Link {
        private final Address address;
        private Optional<Incarnation> keeper = Optional.empty();
        private Dispatch<KeeperOutput, RouterInput> translator = Dispatch.empty();
        private boolean reopening;

        Link(Address address) {
            this.address = address;
        }

        void open() {
            reopening = false;
            SocketAddress server = SocketAddress.inetSocketAddress(address.port(), address.ip());
            client.request(server, KeeperProtocol.client())
                    .onFailure(failure -> reopen())
                    .onSuccess(this::greet);
        }

        private void greet(GrpcClientRequest<Buffer, Buffer> request) {
            request.exceptionHandler(failure -> lose());
            request.response()
                    .onSuccess(response -> listen(request, response))
                    .onFailure(failure -> lose());
            request.write(buffer(new Hello(self, order.next())));
        }

        private void listen(
                GrpcClientRequest<Buffer, Buffer> request,
                GrpcClientResponse<Buffer, Buffer> response) {
            response.handler(bytes -> take(request, bytes));
            response.endHandler(end -> lose());
            response.exceptionHandler(failure -> lose());
        }

        private void take(GrpcClientRequest<Buffer, Buffer> request, Buffer bytes) {
            if (keeper.isEmpty()) {
                Hello hello = Compact.read(bytes.getBytes(), Hello.class);
                order.seen(hello.order());
                keeper = Optional.of(hello.incarnation());
                translator = KeeperReplies.of(hello.incarnation());
                links.put(hello.incarnation(), request);
                inbox.accept(new RouterInput.KeeperUp(hello.incarnation()));
            } else {
                FromKeeper message = Compact.read(bytes.getBytes(), FromKeeper.class);
                order.seen(message.order());
                inbox.accept(translator.apply(message.message()));
            }
        }

        private void lose() {
            keeper.ifPresent(links::remove);
            keeper.map(RouterInput.KeeperDown::new).ifPresent(inbox);
            keeper = Optional.empty();
            reopen();
        }

        private void reopen() {
            if (!reopening) {
                reopening = true;
                vertx.setTimer(REOPEN_MILLIS, id -> open());
            }
        }
    }
}
