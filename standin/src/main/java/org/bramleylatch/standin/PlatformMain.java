package org.bramleylatch.standin;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.bramleylatch.edge.LogPage;
import org.bramleylatch.edge.PlatformClient;
import org.bramleylatch.edge.Servers;
import org.bramleylatch.edge.VmList;
import org.bramleylatch.wire.Address;
import org.bramleylatch.wire.Json;
import org.kohsuke.args4j.Option;

/**
 * Stands in for the platform: an append-only log with offsets and limited retention, a list of VMs
 * and a weight store, with outages, lost answers and delays on demand.
 */
public final class PlatformMain {
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;
    private static final int TOO_MANY = 429;
    private static final long WEIGHTS_EVERY_MILLIS = 500;

    private final Vertx vertx;
    private final Options options;
    private final Map<String, LogStream> streams = new HashMap<>();
    private PlatformFaults faults = PlatformFaults.none();
    private VmList vms;
    private long weightsMillis;

    private PlatformMain(Vertx vertx, Options options) {
        this.vertx = vertx;
        this.options = options;
        this.vms = Json.read(read(options.vmsFile), VmList.class);
    }

    /** Starts the stand-in from its command line. */
    public static void main(String[] arguments) {
        StandinMain.run(arguments, new Options(), PlatformMain::start);
    }

    private static CompletableFuture<?> start(Options options) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        PlatformMain platform = new PlatformMain(vertx, options);
        Router web = Router.router(vertx);
        web.route().handler(BodyHandler.create(false).setBodyLimit(-1));
        web.put("/faults").handler(platform::setFaults);
        web.route().handler(platform::misbehave);
        web.post("/log/:stream").handler(platform::append);
        web.get("/log/:stream").handler(platform::read);
        web.get("/vms").handler(call -> call.end(Json.write(platform.vms)));
        web.put("/vms").handler(platform::setVms);
        web.get("/weights/:name").handler(platform::weights);
        return Servers.listen(vertx, new Address(options.ip, options.port), web);
    }

    private void setFaults(RoutingContext call) {
        faults = Json.read(call.body().asString(), PlatformFaults.class);
        call.end();
    }

    private void misbehave(RoutingContext call) {
        if (faults.outage()) {
            call.response().setStatusCode(UNAVAILABLE).end();
        } else if (faults.delayMillis() > 0) {
            vertx.setTimer(faults.delayMillis(), id -> call.next());
        } else {
            call.next();
        }
    }

    private void append(RoutingContext call) {
        PlatformClient.AppendCall body =
                Json.read(call.body().asString(), PlatformClient.AppendCall.class);
        long first = stream(call).append(body.records(), System.currentTimeMillis());
        if (faults.loseAnswers() > 0) {
            faults = faults.lostOne();
            call.request().connection().close();
        } else {
            call.end(Json.write(new PlatformClient.AppendAnswer(first)));
        }
    }

    private void read(RoutingContext call) {
        LogStream stream = stream(call);
        long from = number(call, "from");
        int most = (int) number(call, "most");
        if (from >= 0 && from < stream.earliest()) {
            call.response().setStatusCode(GONE).end("{\"earliest\":" + stream.earliest() + "}");
        } else if (from >= stream.next()) {
            await(call, stream, from, most);
        } else {
            answer(call.response(), stream.page(from, most));
        }
    }

    private void await(RoutingContext call, LogStream stream, long from, int most) {
        HttpServerResponse response = call.response();
        Consumer<LogStream> waiter = woken -> finish(response, woken, from, most);
        stream.await(waiter);
        vertx.setTimer(
                Math.max(1, number(call, "waitMillis")),
                id -> {
                    stream.leave(waiter);
                    finish(response, stream, from, most);
                });
    }

    private void finish(HttpServerResponse response, LogStream stream, long from, int most) {
        if (!response.ended() && !response.closed()) {
            answer(response, stream.page(from, most));
        }
    }

    private void answer(HttpServerResponse response, LogPage page) {
        response.end(Json.write(page));
    }

    private void setVms(RoutingContext call) {
        VmList newer = Json.read(call.body().asString(), VmList.class);
        vertx.setTimer(Math.max(1, options.vmLagMillis), id -> vms = newer);
        call.end();
    }

    private void weights(RoutingContext call) {
        long nowMillis = System.currentTimeMillis();
        if (nowMillis - weightsMillis < WEIGHTS_EVERY_MILLIS) {
            call.response().setStatusCode(TOO_MANY).end();
        } else {
            weightsMillis = nowMillis;
            call.end("{\"name\":\"" + call.pathParam("name") + "\"}");
        }
    }

    private LogStream stream(RoutingContext call) {
        return streams.computeIfAbsent(
                call.pathParam("stream"), name -> new LogStream(options.retainRecords));
    }

    private static long number(RoutingContext call, String name) {
        return Long.parseLong(call.request().getParam(name, "0"));
    }

    private static String read(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    private static final class Options {
        @Option(name = "--ip", usage = "where to listen")
        private String ip = "127.0.0.1";

        @Option(name = "--port", required = true, usage = "where to listen")
        private int port;

        @Option(name = "--vms", required = true, usage = "a file with the list of VMs")
        private String vmsFile;

        @Option(name = "--vm-lag-millis", usage = "how much later a new list is shown")
        private long vmLagMillis = 1_000;

        @Option(name = "--retain", usage = "how many records a stream keeps")
        private int retainRecords = 1_000_000;
    }
}
