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
import org.bramleylatch.edge.HttpServers;
import org.bramleylatch.edge.LogPage;
import org.bramleylatch.edge.PlatformClient;
import org.bramleylatch.edge.VmList;
import org.bramleylatch.wire.Address;
import org.bramleylatch.wire.Json;
import org.kohsuke.args4j.Option;

/**
 * Simulates the platform: an append-only log with offsets and limited retention, a list of VMs and
 * a rate-limited weight store. Outages, lost responses and delays are injected on request.
 */
public final class PlatformMain {
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final long MIN_WEIGHTS_INTERVAL_MILLIS = 500;

    private final Vertx vertx;
    private final Options options;
    private final Map<String, LogStream> streams = new HashMap<>();
    private PlatformFaults faults = PlatformFaults.none();
    private VmList vms;
    private long lastWeightsMillis;

    private PlatformMain(Vertx vertx, Options options) {
        this.vertx = vertx;
        this.options = options;
        this.vms = Json.read(readFile(options.vmsFile), VmList.class);
    }

    /** Starts the simulated platform with the given command line. */
    public static void main(String[] arguments) {
        StandinLauncher.run(arguments, new Options(), PlatformMain::start);
    }

    private static CompletableFuture<?> start(Options options) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        PlatformMain platform = new PlatformMain(vertx, options);
        Router web = Router.router(vertx);
        web.route().handler(BodyHandler.create(false).setBodyLimit(-1));
        web.put("/faults").handler(platform::setFaults);
        web.route().handler(platform::injectFaults);
        web.post("/log/:stream").handler(platform::append);
        web.get("/log/:stream").handler(platform::read);
        web.get("/vms").handler(call -> call.end(Json.write(platform.vms)));
        web.put("/vms").handler(platform::setVms);
        web.get("/weights/:name").handler(platform::serveWeights);
        return HttpServers.listen(vertx, new Address(options.ip, options.port), web);
    }

    private void setFaults(RoutingContext call) {
        faults = Json.read(call.body().asString(), PlatformFaults.class);
        call.end();
    }

    private void injectFaults(RoutingContext call) {
        if (faults.outage()) {
            call.response().setStatusCode(UNAVAILABLE).end();
        } else if (faults.delayMillis() > 0) {
            vertx.setTimer(faults.delayMillis(), id -> call.next());
        } else {
            call.next();
        }
    }

    private void append(RoutingContext call) {
        PlatformClient.AppendRequest body =
                Json.read(call.body().asString(), PlatformClient.AppendRequest.class);
        long firstOffset =
                findOrCreateStream(call).append(body.records(), System.currentTimeMillis());
        if (faults.loseAnswers() > 0) {
            faults = faults.afterLostAnswer();
            call.request().connection().close();
        } else {
            call.end(Json.write(new PlatformClient.AppendResponse(firstOffset)));
        }
    }

    private void read(RoutingContext call) {
        LogStream stream = findOrCreateStream(call);
        long fromOffset = numberParameter(call, "from");
        int maxRecords = (int) numberParameter(call, "most");
        if (fromOffset >= 0 && fromOffset < stream.earliestOffset()) {
            call.response()
                    .setStatusCode(GONE)
                    .end("{\"earliest\":" + stream.earliestOffset() + "}");
        } else if (fromOffset >= stream.endOffset()) {
            awaitAppend(call, stream, fromOffset, maxRecords);
        } else {
            answer(call.response(), stream.page(fromOffset, maxRecords));
        }
    }

    private void awaitAppend(
            RoutingContext call, LogStream stream, long fromOffset, int maxRecords) {
        HttpServerResponse response = call.response();
        Consumer<LogStream> waiter =
                updated -> answerIfOpen(response, updated, fromOffset, maxRecords);
        stream.awaitAppend(waiter);
        vertx.setTimer(
                Math.max(1, numberParameter(call, "waitMillis")),
                id -> {
                    stream.cancelAwait(waiter);
                    answerIfOpen(response, stream, fromOffset, maxRecords);
                });
    }

    private void answerIfOpen(
            HttpServerResponse response, LogStream stream, long fromOffset, int maxRecords) {
        if (!response.ended() && !response.closed()) {
            answer(response, stream.page(fromOffset, maxRecords));
        }
    }

    private void answer(HttpServerResponse response, LogPage page) {
        response.end(Json.write(page));
    }

    private void setVms(RoutingContext call) {
        VmList newVms = Json.read(call.body().asString(), VmList.class);
        vertx.setTimer(Math.max(1, options.vmLagMillis), id -> vms = newVms);
        call.end();
    }

    private void serveWeights(RoutingContext call) {
        long nowMillis = System.currentTimeMillis();
        if (nowMillis - lastWeightsMillis < MIN_WEIGHTS_INTERVAL_MILLIS) {
            call.response().setStatusCode(TOO_MANY_REQUESTS).end();
        } else {
            lastWeightsMillis = nowMillis;
            call.end("{\"name\":\"" + call.pathParam("name") + "\"}");
        }
    }

    private LogStream findOrCreateStream(RoutingContext call) {
        return streams.computeIfAbsent(
                call.pathParam("stream"), name -> new LogStream(options.retainRecords));
    }

    private static long numberParameter(RoutingContext call, String name) {
        return Long.parseLong(call.request().getParam(name, "0"));
    }

    private static String readFile(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    private static final class Options {
        @Option(name = "--ip", usage = "IP address to listen on")
        private String ip = "127.0.0.1";

        @Option(name = "--port", required = true, usage = "port to listen on")
        private int port;

        @Option(name = "--vms", required = true, usage = "JSON file with the list of VMs")
        private String vmsFile;

        @Option(name = "--vm-lag-millis", usage = "milliseconds until a new list of VMs is served")
        private long vmLagMillis = 1_000;

        @Option(name = "--retain", usage = "how many records a stream retains at least")
        private int retainRecords = 1_000_000;
    }
}
