package org.bramleylatch.standin;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.bramleylatch.edge.HttpServers;
import org.bramleylatch.wire.Address;
import org.bramleylatch.wire.Json;
import org.kohsuke.args4j.Option;

/**
 * Simulates a plain HTTP service. A GET request is answered with its path, and each POST request
 * adds a booking, so that the number of bookings shows how often a request ran.
 */
public final class ServiceMain {
    private static final int CREATED = 201;

    private final List<String> bookings = new ArrayList<>();

    /** Set by the fault "hangAfterRun": a booking is added, then the connection is closed. */
    private boolean closesWithoutAnswer;

    private ServiceMain() {}

    /** Starts the simulated service with the given command line. */
    public static void main(String[] arguments) {
        StandinLauncher.run(arguments, new Options(), ServiceMain::start);
    }

    private static CompletableFuture<?> start(Options options) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        ServiceMain service = new ServiceMain();
        Router web = Router.router(vertx);
        web.route().handler(BodyHandler.create(false));
        web.put("/faults").handler(service::setFaults);
        web.get("/load").handler(call -> call.end("{\"heldTokens\":0,\"leaving\":false}"));
        web.get("/bookings-count").handler(service::countBookings);
        web.post("/*").handler(service::acceptBooking);
        web.get("/*").handler(call -> call.end("{\"path\":\"" + call.request().path() + "\"}"));
        return HttpServers.listen(vertx, new Address(options.ip, options.port), web);
    }

    private void acceptBooking(RoutingContext call) {
        bookings.add(call.body().asString());
        if (closesWithoutAnswer) {
            call.request().connection().close();
        } else {
            call.response().setStatusCode(CREATED);
            call.end(Json.write(Map.of("booking", bookings.size())));
        }
    }

    private void countBookings(RoutingContext call) {
        call.end(Json.write(Map.of("count", bookings.size())));
    }

    private void setFaults(RoutingContext call) {
        closesWithoutAnswer =
                Json.readTree(call.body().asString()).path("hangAfterRun").asBoolean();
        call.end();
    }

    private static final class Options {
        @Option(name = "--ip", usage = "IP address to listen on")
        private String ip = "127.0.0.1";

        @Option(name = "--port", required = true, usage = "port to listen on")
        private int port;
    }
}
