package org.bramleylatch.gateway;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.net.ConnectException;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.RequestId;
import org.bramleylatch.core.RequestSpec;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.core.RunState;
import org.bramleylatch.platform.EndpointEntry;
import org.bramleylatch.platform.EndpointRequestHead;

/** Sends attempts to endpoints over HTTP and passes their answers to the router. */
final class EndpointClient {
    /**
     * Covers many round trips between zones. TCP retransmits a lost packet of the handshake only
     * after this time, so a new attempt is faster.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    private static final int MAX_CONNECTIONS = 128;
    private static final int KEEP_ALIVE_SECONDS = 5;

    /** An eighth of the heap on the smallest VMs. */
    private static final long MAX_BUFFERED_BYTES = 12 * 1024 * 1024;

    private static final int RECEIVE_BUFFER_BYTES = 32 * 1024;

    private final InstantSource clock;
    private final Function<EndpointId, Optional<EndpointEntry>> registry;
    private final Function<RequestId, Optional<CallerExchange>> exchanges;
    private final Function<RequestId, Optional<RequestSpec>> specs;
    private final ToIntFunction<String> tokensPerEvent;
    private final Consumer<RouterInput> inbox;
    private final HttpClient keepAliveClient;
    private final HttpClient singleUseClient;
    private final NetClient probeClient;
    private final ByteBudget bufferBudget = new ByteBudget(MAX_BUFFERED_BYTES);
    private final ConnectionUses uses = new ConnectionUses();
    private final Map<AttemptId, EndpointCall> calls = new HashMap<>();

    /**
     * Creates the client; no connection is opened yet.
     *
     * @param registry finds the newest registry entry of an endpoint
     * @param exchanges finds the exchange of a request whose caller still waits
     * @param specs finds the parameters of an open request
     * @param tokensPerEvent returns the number of tokens in one event of a back end's stream
     */
    EndpointClient(
            Vertx vertx,
            InstantSource clock,
            Function<EndpointId, Optional<EndpointEntry>> registry,
            Function<RequestId, Optional<CallerExchange>> exchanges,
            Function<RequestId, Optional<RequestSpec>> specs,
            ToIntFunction<String> tokensPerEvent,
            Consumer<RouterInput> inbox) {
        this.clock = clock;
        this.registry = registry;
        this.exchanges = exchanges;
        this.specs = specs;
        this.tokensPerEvent = tokensPerEvent;
        this.inbox = inbox;
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS);
        this.keepAliveClient =
                vertx.createHttpClient(
                        clientOptions().setKeepAlive(true).setKeepAliveTimeout(KEEP_ALIVE_SECONDS),
                        pool);
        this.singleUseClient = vertx.createHttpClient(clientOptions().setKeepAlive(false), pool);
        this.probeClient =
                vertx.createNetClient(
                        new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    }

    /** Starts an attempt; reports it as not run if its caller, request or endpoint is unknown. */
    void startAttempt(RouterOutput.StartAttempt start) {
        Optional<CallerExchange> exchange = exchanges.apply(start.request());
        Optional<RequestSpec> spec = specs.apply(start.request());
        Optional<EndpointEntry> entry = registry.apply(start.endpoint());
        if (exchange.isEmpty() || spec.isEmpty() || entry.isEmpty()) {
            inbox.accept(
                    new RouterInput.AttemptFailed(
                            start.attempt(),
                            RunState.NOT_RUN,
                            "no caller, request or endpoint address",
                            RouterInput.AttemptFailed.Cause.NOT_CONNECTED));
            return;
        }
        EndpointCall call =
                new EndpointCall(
                        start.attempt(),
                        start.endpoint(),
                        exchange.get(),
                        start.position(),
                        tokensPerEvent.applyAsInt(spec.get().backEnd()),
                        bufferBudget,
                        message -> forward(start.attempt(), message));
        calls.put(start.attempt(), call);
        clientFor(spec.get())
                .request(requestOptions(exchange.get(), spec.get(), entry.get()))
                .onSuccess(request -> call.send(request, uses.count(request.connection())))
                .onFailure(call::connectionFailed);
    }

    /** Cancels an attempt and closes its connection. */
    void cancelAttempt(RouterOutput.CancelAttempt cancel) {
        Optional.ofNullable(calls.remove(cancel.attempt())).ifPresent(EndpointCall::cancel);
    }

    /**
     * Opens a connection to an endpoint and closes it again. Only a refused connection shows that
     * the endpoint has ended; behind a network partition, the connection times out.
     */
    void probeEndpoint(RouterOutput.ProbeEndpoint probe) {
        Optional<EndpointEntry> entry = registry.apply(probe.endpoint());
        if (entry.isEmpty()) {
            reportProbe(probe, false, "address unknown");
            return;
        }
        probeClient
                .connect(entry.get().address().port(), entry.get().address().ip())
                .onSuccess(
                        socket -> {
                            socket.close();
                            reportProbe(probe, false, "connected");
                        })
                .onFailure(failure -> reportProbe(probe, isRefused(failure), failure.getMessage()));
    }

    private void reportProbe(RouterOutput.ProbeEndpoint probe, boolean refused, String detail) {
        inbox.accept(new RouterInput.EndpointProbed(probe.endpoint(), refused, detail));
    }

    private static boolean isRefused(Throwable failure) {
        return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
    }

    /** Pauses or resumes reading an answer. */
    void setPaused(RouterOutput.PauseAttempt pause) {
        Optional.ofNullable(calls.get(pause.attempt()))
                .ifPresent(call -> call.setPaused(pause.paused()));
    }

    /**
     * Chooses a new connection for a request that must not be repeated: the endpoint may have
     * closed an idle connection, and then it is unknown whether the request ran.
     */
    private HttpClient clientFor(RequestSpec spec) {
        return spec.route().repeatable() ? keepAliveClient : singleUseClient;
    }

    private void forward(AttemptId attempt, RouterInput message) {
        boolean endsAnswer =
                message instanceof RouterInput.AnswerEnded
                        || message instanceof RouterInput.ServiceAnswered;
        if (endsAnswer) {
            calls.remove(attempt);
        }
        inbox.accept(message);
    }

    private RequestOptions requestOptions(
            CallerExchange exchange, RequestSpec spec, EndpointEntry entry) {
        RequestOptions options =
                new RequestOptions()
                        .setHost(entry.address().ip())
                        .setPort(entry.address().port())
                        .setMethod(exchange.request().method())
                        .setURI(exchange.request().uri());
        EndpointRequestHead head =
                new EndpointRequestHead(
                        entry.instance(),
                        spec.deadlineMillis() - clock.millis(),
                        Optional.of(spec.budget().value()).filter(name -> !name.isEmpty()),
                        spec.traits().priority(),
                        exchange.lastEventId().isPresent()
                                ? Optional.of(Long.toString(exchange.lastEventId().getAsLong()))
                                : Optional.empty());
        head.write(exchange.request().headers(), options);
        return options;
    }

    private static HttpClientOptions clientOptions() {
        return new HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                .setReceiveBufferSize(RECEIVE_BUFFER_BYTES)
                .setTcpNoDelay(true);
    }
}
