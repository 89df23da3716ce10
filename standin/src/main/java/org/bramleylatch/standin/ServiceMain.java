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
import org.bramleylatch.edge.Servers;
import org.bramleylatch.wire.Address;
import org.bramleylatch.wire.Json;
import org.kohsuke.args4j.Option;

/**
 * Stands in for a plain service: it answers stock lookups, and takes bookings, each of which counts
 * as often as it is sent.
 */
public final class ServiceMain {
    private static final int CREATED = 201;

    private final List<String> bookings = new ArrayList<>();
    private boolean hangAfterRun;

    private ServiceMain() {}

    /** Starts the stand-in from its command line. */
    public static void main(String[] arguments) {
        StandinMain.run(arguments, new Options(), ServiceMain::start);
    }

    private static CompletableFuture<?> start(Options options) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        ServiceMain service = new ServiceMain();
        Router web = Router.router(vertx);
        web.route().handler(BodyHandler.create(false));
        web.put("/faults").handler(service::setFaults);
        web.get("/load").handler(call -> call.end("{\"heldTokens\":0,\"leaving\":false}"));
        web.get("/bookings-count").handler(service::count);
        web.post("/*").handler(service::book);
        web.get("/*").handler(call -> call.end("{\"path\":\"" + call.request().path() + "\"}"));
        return Servers.listen(vertx, new Address(options.ip, options.port), web);
    }

    private void book(RoutingContext call) {
        bookings.add(call.body().asString());
        if (hangAfterRun) {
            call.request().connection().close();
        } else {
            call.response().setStatusCode(CREATED);
            call.end(Json.write(Map.of("booking", bookings.size())));
        }
    }

    private void count(RoutingContext call) {
        call.end(Json.write(Map.of("count", bookings.size())));
    }

    private void setFaults(RoutingContext call) {
        hangAfterRun = Json.readTree(call.body().asString()).path("hangAfterRun").asBoolean();
        call.end();
    }

    private static final class Options {
        @Option(name = "--ip", usage = "where to listen")
        private String ip = "127.0.0.1";

        @Option(name = "--port", required = true, usage = "where to listen")
        private int port;
    }
}
