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
import java.util.function.Function;
import java.util.function.Predicate;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.RequestId;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.core.RunState;
import org.bramleylatch.edge.EngineProtocol;
import org.bramleylatch.edge.PlatformClient;
import org.bramleylatch.edge.VmList;
import org.bramleylatch.wire.Address;
import org.bramleylatch.wire.Json;

/**
 * Sends attempts to endpoints, each over its own connection, and reports their answers. Keeps the
 * addresses of the endpoints up to date from the platform's VM list and probes the load of those
 * that the router uses.
 */
final class EndpointClient {
    private static final long VM_LIST_INTERVAL_MILLIS = 1_000;
    private static final long PROBE_INTERVAL_MILLIS = 500;
    private static final long PROBE_TIMEOUT_MILLIS = 1_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int RECEIVE_BUFFER_BYTES = 8 * 1024;
    private static final int MAX_CONNECTIONS = 4_096;
    private static final int STATUS_OK = 200;

    private final Vertx vertx;
    private final PlatformClient platform;
    private final Function<RequestId, Optional<CallerExchange>> exchanges;
    private final Predicate<EndpointId> isUsed;
    private final Consumer<RouterInput> inbox;
    private final HttpClient client;
    private final WebClient probeClient;
    private final Map<EndpointId, Address> addresses = new HashMap<>();
    private final Map<AttemptId, EndpointCall> calls = new HashMap<>();

    EndpointClient(
            Vertx vertx,
            PlatformClient platform,
            Function<RequestId, Optional<CallerExchange>> exchanges,
            Predicate<EndpointId> isUsed,
            Consumer<RouterInput> inbox) {
        this.vertx = vertx;
        this.platform = platform;
        this.exchanges = exchanges;
        this.isUsed = isUsed;
        this.inbox = inbox;
        this.client =
                vertx.createHttpClient(
                        new HttpClientOptions()
                                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                                .setReceiveBufferSize(RECEIVE_BUFFER_BYTES)
                                .setTcpNoDelay(true)
                                // Refusals and answers of services don't name their attempt.
                                .setKeepAlive(false),
                        new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
        this.probeClient = WebClient.create(vertx);
    }

    /** Starts to poll the platform's VM list and the load of the used endpoints. */
    void startPolling() {
        vertx.setPeriodic(
                0,
                VM_LIST_INTERVAL_MILLIS,
                id -> platform.fetchVms().thenAccept(this::updateAddresses));
        vertx.setPeriodic(PROBE_INTERVAL_MILLIS, id -> probeUsedEndpoints());
    }

    /**
     * Sends an attempt to its endpoint. Reports it as not run if the endpoint is no longer listed
     * or the caller has disconnected.
     */
    void startAttempt(RouterOutput.StartAttempt start) {
        Optional<CallerExchange> exchange = exchanges.apply(start.request());
        Optional<Address> address = Optional.ofNullable(addresses.get(start.endpoint()));
        if (exchange.isEmpty() || address.isEmpty()) {
            reportFailure(
                    start.attempt(),
                    RunState.NOT_RUN,
                    "the endpoint has no address or the caller has disconnected");
            return;
        }
        EndpointCall call = new EndpointCall(start.attempt(), inbox);
        calls.put(start.attempt(), call);
        RequestOptions options = requestOptions(exchange.get(), address.get(), start);
        client.request(options)
                .onFailure(failure -> connectionFailed(start.attempt(), failure))
                .onSuccess(request -> send(request, call, exchange.get()));
    }

    /** Cancels an attempt by resetting its request; the endpoint sees the connection close. */
    void cancelAttempt(AttemptId attempt) {
        Optional.ofNullable(calls.remove(attempt)).ifPresent(EndpointCall::cancel);
    }

    /** Pauses or resumes reading an attempt's answer. */
    void setPaused(RouterOutput.PauseAttempt pause) {
        Optional.ofNullable(calls.get(pause.attempt()))
                .ifPresent(call -> call.setPaused(pause.paused()));
    }

    private static RequestOptions requestOptions(
            CallerExchange exchange, Address address, RouterOutput.StartAttempt start) {
        HttpMethod method = exchange.request().method();
        RequestOptions options =
                new RequestOptions()
                        .setHost(address.ip())
                        .setPort(address.port())
                        .setMethod(method)
                        .setURI(exchange.request().uri())
                        .putHeader(EngineProtocol.ATTEMPT_HEADER, start.attempt().value())
                        .putHeader("content-type", "application/json");
        return start.position() == 0
                ? options
                : options.putHeader(
                        EngineProtocol.RESUME_POSITION_HEADER, Long.toString(start.position()));
    }

    private void send(HttpClientRequest request, EndpointCall call, CallerExchange exchange) {
        call.requestOpened(request);
        request.response()
                .onSuccess(response -> receiveHead(response, call))
                .onFailure(
                        failure ->
                                failCall(
                                        call,
                                        RunState.UNKNOWN,
                                        "no response received: " + failure));
        request.end(exchange.body());
    }

    private void receiveHead(HttpClientResponse response, EndpointCall call) {
        String type = response.getHeader("content-type");
        boolean isEventStream = type != null && type.startsWith("text/event-stream");
        response.exceptionHandler(failure -> failCall(call, RunState.UNKNOWN, failure.toString()));
        if (isEventStream && response.statusCode() == STATUS_OK) {
            call.readStream(response, () -> calls.remove(call.attempt()));
        } else if (response.getHeader(EngineProtocol.RUN_STATE_HEADER) != null) {
            boolean notRun =
                    EngineProtocol.RUN_STATE_NOT_RUN.equals(
                            response.getHeader(EngineProtocol.RUN_STATE_HEADER));
            String detail = "status " + response.statusCode();
            failCall(call, notRun ? RunState.NOT_RUN : RunState.UNKNOWN, detail);
        } else {
            call.readWhole(response, () -> calls.remove(call.attempt()));
        }
    }

    private void failCall(EndpointCall call, RunState runState, String detail) {
        if (calls.remove(call.attempt(), call)) {
            reportFailure(call.attempt(), runState, detail);
        }
    }

    private void connectionFailed(AttemptId attempt, Throwable failure) {
        if (calls.remove(attempt) != null) {
            reportFailure(attempt, RunState.NOT_RUN, "connection failed: " + failure.getMessage());
        }
    }

    private void reportFailure(AttemptId attempt, RunState runState, String detail) {
        inbox.accept(new RouterInput.AttemptFailed(attempt, runState, detail));
    }

    private void updateAddresses(VmList list) {
        addresses.clear();
        list.vms().forEach(vm -> addresses.put(vm.id(), new Address(vm.ip(), vm.port())));
        inbox.accept(
                new RouterInput.EndpointsListed(
                        list.vms().stream().map(VmList.Vm::toEndpointRow).toList()));
    }

    private void probeUsedEndpoints() {
        addresses.entrySet().stream()
                .filter(entry -> isUsed.test(entry.getKey()))
                .forEach(entry -> probe(entry.getKey(), entry.getValue()));
    }

    private void probe(EndpointId endpoint, Address address) {
        probeClient
                .get(address.port(), address.ip(), "/load")
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
