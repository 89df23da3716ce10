package org.bramleylatch.router;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.ext.web.client.WebClient;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.core.RunState;
import org.bramleylatch.edge.EngineProtocol;
import org.bramleylatch.edge.PlatformClient;
import org.bramleylatch.edge.VmList;
import org.bramleylatch.wire.Address;
import org.bramleylatch.wire.Json;

/** Carries attempts to endpoints and their answers back, and watches the endpoints. */
final class Endpoints {
    private static final long LIST_EVERY_MILLIS = 1_000;
    private static final long PROBE_EVERY_MILLIS = 500;
    private static final long PROBE_TIMEOUT_MILLIS = 1_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int RECEIVE_BUFFER_BYTES = 8 * 1024;
    private static final int MOST_CONNECTIONS = 4_096;
    private static final int OK = 200;

    private final Vertx vertx;
    private final PlatformClient platform;
    private final Callers callers;
    private final Predicate<EndpointId> isUsed;
    private final Consumer<RouterInput> inbox;
    private final HttpClient client;
    private final WebClient prober;
    private final Map<EndpointId, Address> addresses = new HashMap<>();
    private final Map<AttemptId, EndpointCall> calls = new HashMap<>();

    Endpoints(
            Vertx vertx,
            PlatformClient platform,
            Callers callers,
            Predicate<EndpointId> isUsed,
            Consumer<RouterInput> inbox) {
        this.vertx = vertx;
        this.platform = platform;
        this.callers = callers;
        this.isUsed = isUsed;
        this.inbox = inbox;
        this.client =
                vertx.createHttpClient(
                        new HttpClientOptions()
                                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                                .setReceiveBufferSize(RECEIVE_BUFFER_BYTES)
                                .setTcpNoDelay(true),
                        new PoolOptions().setHttp1MaxSize(MOST_CONNECTIONS));
        this.prober = WebClient.create(vertx);
    }

    /** Starts to read the platform's list and to ask endpoints for their load. */
    void begin() {
        vertx.setPeriodic(0, LIST_EVERY_MILLIS, id -> platform.vms().thenAccept(this::list));
        vertx.setPeriodic(PROBE_EVERY_MILLIS, id -> probeUsed());
    }

    /** Sends an attempt to its endpoint. */
    void start(RouterOutput.StartAttempt start) {
        Optional<Exchange> exchange = callers.exchange(start.request());
        Optional<Address> address = Optional.ofNullable(addresses.get(start.endpoint()));
        if (exchange.isEmpty() || address.isEmpty()) {
            fail(start.attempt(), RunState.NOT_RUN, "no address or caller");
            return;
        }
        EndpointCall call = new EndpointCall(start.attempt(), inbox);
        calls.put(start.attempt(), call);
        RequestOptions options = options(exchange.get(), address.get(), start);
        client.request(options)
                .onFailure(failure -> refused(start.attempt(), failure))
                .onSuccess(request -> send(request, call, exchange.get()));
    }

    /** Ends an attempt; its endpoint sees the connection close. */
    void cancel(AttemptId attempt) {
        Optional.ofNullable(calls.remove(attempt)).ifPresent(EndpointCall::cancel);
    }

    /** Stops or resumes reading an attempt's answer. */
    void pause(RouterOutput.PauseAttempt pause) {
        Optional.ofNullable(calls.get(pause.attempt()))
                .ifPresent(call -> call.pause(pause.paused()));
    }

    private static RequestOptions options(
            Exchange exchange, Address address, RouterOutput.StartAttempt start) {
        HttpMethod method = exchange.request().method();
        RequestOptions options =
                new RequestOptions()
                        .setHost(address.ip())
                        .setPort(address.port())
                        .setMethod(method)
                        .setURI(exchange.request().uri())
                        .putHeader(EngineProtocol.ATTEMPT, start.attempt().value())
                        .putHeader("content-type", "application/json");
        return start.position() == 0
                ? options
                : options.putHeader(EngineProtocol.POSITION, Long.toString(start.position()));
    }

    private void send(HttpClientRequest request, EndpointCall call, Exchange exchange) {
        call.opened(request);
        request.response()
                .onSuccess(response -> receive(response, call))
                .onFailure(failure -> end(call, RunState.UNKNOWN, "no answer: " + failure));
        request.end(exchange.body());
    }

    private void receive(HttpClientResponse response, EndpointCall call) {
        String type = response.getHeader("content-type");
        boolean stream = type != null && type.startsWith("text/event-stream");
        response.exceptionHandler(failure -> end(call, RunState.UNKNOWN, failure.toString()));
        if (stream && response.statusCode() == OK) {
            call.stream(response, () -> calls.remove(call.attempt()));
        } else if (response.getHeader(EngineProtocol.RUN) != null) {
            boolean notRun = EngineProtocol.NOT_RUN.equals(response.getHeader(EngineProtocol.RUN));
            String detail = "status " + response.statusCode();
            end(call, notRun ? RunState.NOT_RUN : RunState.UNKNOWN, detail);
        } else {
            call.whole(response, () -> calls.remove(call.attempt()));
        }
    }

    private void end(EndpointCall call, RunState ran, String detail) {
        if (calls.remove(call.attempt(), call)) {
            fail(call.attempt(), ran, detail);
        }
    }

    private void refused(AttemptId attempt, Throwable failure) {
        if (calls.remove(attempt) != null) {
            fail(attempt, RunState.NOT_RUN, "not connected: " + failure.getMessage());
        }
    }

    private void fail(AttemptId attempt, RunState ran, String detail) {
        inbox.accept(new RouterInput.AttemptFailed(attempt, ran, detail));
    }

    private void list(VmList list) {
        addresses.clear();
        list.vms().forEach(vm -> addresses.put(vm.id(), new Address(vm.ip(), vm.port())));
        inbox.accept(
                new RouterInput.EndpointsListed(
                        list.vms().stream().map(VmList.Vm::toEndpoint).toList()));
    }

    private void probeUsed() {
        addresses.entrySet().stream()
                .filter(entry -> isUsed.test(entry.getKey()))
                .forEach(entry -> probe(entry.getKey(), entry.getValue()));
    }

    private void probe(EndpointId endpoint, Address address) {
        prober.get(address.port(), address.ip(), "/load")
                .timeout(PROBE_TIMEOUT_MILLIS)
                .send()
                .map(answer -> Json.read(answer.bodyAsString(), EngineProtocol.Load.class))
                .onSuccess(
                        load ->
                                inbox.accept(
                                        new RouterInput.EndpointReported(
                                                endpoint, load.heldTokens(), load.leaving())));
    }
}
