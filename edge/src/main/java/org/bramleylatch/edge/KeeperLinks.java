package org.bramleylatch.edge;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.client.GrpcClientRequest;
import io.vertx.grpc.client.GrpcClientResponse;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.bramleylatch.core.Dispatch;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.wire.Address;
import org.bramleylatch.wire.Compact;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps a link to every keeper of the zone; a broken link is opened again. */
public final class KeeperLinks {
    private static final Logger LOG = LoggerFactory.getLogger(KeeperLinks.class);
    private static final long REOPEN_MILLIS = 200;

    private final Vertx vertx;
    private final Incarnation self;
    private final HybridClock order;
    private final Set<Address> addresses = new HashSet<>();
    private final Consumer<RouterInput> inbox;
    private final GrpcClient client;
    private final Map<Incarnation, GrpcClientRequest<Buffer, Buffer>> links = new HashMap<>();

    /** Makes the links; none is open yet. */
    public KeeperLinks(
            Vertx vertx, Incarnation self, HybridClock order, Consumer<RouterInput> inbox) {
        this.vertx = vertx;
        this.self = self;
        this.order = order;
        this.inbox = inbox;
        this.client = GrpcClient.client(vertx);
    }

    /** Opens a link to the keeper at the address, unless there is one. */
    public void open(Address address) {
        if (addresses.add(address)) {
            new Link(address).open();
        }
    }

    /** Sends a message; it is dropped if the link is broken, which the world is told of. */
    public void send(RouterOutput.ToKeeper output) {
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
        private boolean lost;

        Link(Address address) {
            this.address = address;
        }

        void open() {
            reopening = false;
            SocketAddress server = SocketAddress.inetSocketAddress(address.port(), address.ip());
            client.request(server, KeeperProtocol.client())
                    .onFailure(this::lose)
                    .onSuccess(this::greet);
        }

        private void greet(GrpcClientRequest<Buffer, Buffer> request) {
            request.exceptionHandler(this::lose);
            request.response()
                    .onSuccess(response -> listen(request, response))
                    .onFailure(this::lose);
            request.write(buffer(new Hello(self, order.next())));
        }

        private void listen(
                GrpcClientRequest<Buffer, Buffer> request,
                GrpcClientResponse<Buffer, Buffer> response) {
            response.handler(bytes -> take(request, bytes));
            response.endHandler(end -> lose());
            response.exceptionHandler(this::lose);
        }

        private void take(GrpcClientRequest<Buffer, Buffer> request, Buffer bytes) {
            if (keeper.isEmpty()) {
                Hello hello = Compact.read(bytes.getBytes(), Hello.class);
                order.seen(hello.order());
                lost = false;
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

        private void lose(Throwable failure) {
            if (!lost) {
                lost = true;
                LOG.info("keeper at {}: {}", address, failure.toString());
            }
            lose();
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
