package org.bramleylatch.gateway;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.ProxyOptions;
import java.net.ConnectException;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.RequestId;
import org.bramleylatch.core.RequestSpec;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterInput.AttemptFailed.Cause;
import org.bramleylatch.core.RouterInput.PathProbed;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.core.RunState;
import org.bramleylatch.core.StreamBound;
import org.bramleylatch.edge.LinkUse;
import org.bramleylatch.platform.EndpointEntry;
import org.bramleylatch.platform.EndpointRequestHead;
import org.bramleylatch.wire.Address;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends attempts to endpoints over HTTP and passes their answers to the router. */
final class EndpointClient {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointClient.class);

    /**
     * Covers many round trips between zones. TCP retransmits a lost packet of the handshake only
     * after this time, so a new attempt is faster.
     */
    static final int CONNECT_TIMEOUT_MILLIS = 300;

    private static final int MAX_CONNECTIONS = 128;
    private static final int KEEP_ALIVE_SECONDS = 5;

    /** An eighth of the heap on the smallest VMs. */
    private static final long MAX_BUFFERED_BYTES = 12 * 1024 * 1024;

    private static final int RECEIVE_BUFFER_BYTES = 32 * 1024;

    private final Vertx vertx;
    private final InstantSource clock;
    private final Function<EndpointId, Optional<EndpointEntry>> registry;
    private final Function<RequestId, Optional<CallerExchange>> exchanges;
    private final Function<RequestId, Optional<RequestSpec>> specs;
    private final ToIntFunction<String> tokensPerEvent;
    private final Consumer<RouterInput> inbox;
    private final Consumer<Event> timeline;
    private final PeerPaths peers;
    private final HttpClient keepAliveClient;
    private final HttpClient singleUseClient;
    private final ByteBudget bufferBudget = new ByteBudget(MAX_BUFFERED_BYTES);
    private final EndpointConnections connections = new EndpointConnections();
    private final Map<AttemptId, EndpointCall> calls = new HashMap<>();
    private final AnswerReader.Factory readers;
    private final ConsecutiveCheck<AttemptId> orphanCheck = new ConsecutiveCheck<>();

    /**
     * Creates the client; no connection is opened yet.
     *
     * @param registry finds the newest registry entry of an endpoint
     * @param exchanges finds the exchange of a request whose caller still waits
     * @param specs finds the parameters of an open request
     * @param tokensPerEvent returns the number of tokens in one event of a back end's stream
     * @param timeline receives an event when an attempt is answered or ends unanswered
     * @param peers finds the peers that carry connections
     */
    EndpointClient(
            Vertx vertx,
            InstantSource clock,
            PeerPaths peers,
            Function<EndpointId, Optional<EndpointEntry>> registry,
            Function<RequestId, Optional<CallerExchange>> exchanges,
            Function<RequestId, Optional<RequestSpec>> specs,
            ToIntFunction<String> tokensPerEvent,
            Consumer<RouterInput> inbox,
            Consumer<Event> timeline) {
        this.vertx = vertx;
        this.clock = clock;
        this.peers = peers;
        this.registry = registry;
        this.exchanges = exchanges;
        this.specs = specs;
        this.tokensPerEvent = tokensPerEvent;
        this.inbox = inbox;
        this.timeline = timeline;
        this.readers = AnswerReader.factory(vertx, clock, new LoopShare(calls::size));
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS);
        this.keepAliveClient =
                vertx.createHttpClient(
                        clientOptions().setKeepAlive(true).setKeepAliveTimeout(KEEP_ALIVE_SECONDS),
                        pool);
        this.singleUseClient = vertx.createHttpClient(clientOptions().setKeepAlive(false), pool);
    }

    /**
     * Starts an attempt. Reports it as not run if its caller, request or endpoint is unknown, or if
     * the runtime's client refuses to open a connection to the endpoint's address.
     */
    void startAttempt(RouterOutput.StartAttempt start) {
        Optional<CallerExchange> exchange = exchanges.apply(start.request());
        Optional<RequestSpec> spec = specs.apply(start.request());
        Optional<EndpointEntry> entry = registry.apply(start.endpoint());
        if (exchange.isEmpty() || spec.isEmpty() || entry.isEmpty()) {
            reportNotStarted(start.attempt(), "no caller, request or endpoint address");
            return;
        }
        Optional<ProxyOptions> proxy = start.via().flatMap(peers::through);
        if (start.via().isPresent() && proxy.isEmpty()) {
            reportNotStarted(
                    start.attempt(), "no path through " + start.via().get(), Cause.PATH_FAILED);
            return;
        }
        EndpointCall call = newCall(start, exchange.get(), spec.get());
        calls.put(start.attempt(), call);
        connect(
                clientFor(spec.get()),
                exchange.get(),
                new Sending(start, call, spec.get(), entry.get(), proxy));
    }

    private void connect(HttpClient client, CallerExchange exchange, Sending sending) {
        try {
            client.request(requestOptions(exchange, sending))
                    .onSuccess(request -> sendLater(request, sending))
                    .onFailure(failure -> reportNotConnected(sending, failure));
        } catch (RuntimeException refused) {
            AttemptId attempt = sending.start().attempt();
            EndpointId endpoint = sending.start().endpoint();
            calls.remove(attempt);
            LOG.warn("attempt at {} not started, {}", endpoint, sending.entry(), refused);
            reportNotStarted(attempt, endpoint + " not connected: " + refused.getMessage());
        }
    }

    private static void reportNotConnected(Sending sending, Throwable failure) {
        Cause cause =
                sending.proxy().isPresent()
                        ? causeThroughPeer(failure)
                        : causeOfDirectFailure(failure);
        sending.call().connectionFailed(failure, cause);
    }

    private static Cause causeThroughPeer(Throwable failure) {
        return PeerPaths.outcomeOf(failure) == PathProbed.Outcome.PEER_FAILED
                ? Cause.PATH_FAILED
                : Cause.NOT_CONNECTED;
    }

    /** Tells a connection that timed out, perhaps as this VM is late, from one that was refused. */
    static Cause causeOfDirectFailure(Throwable failure) {
        boolean timedOut =
                failure instanceof ConnectTimeoutException || failure instanceof TimeoutException;
        return timedOut ? Cause.CONNECT_TIMED_OUT : Cause.NOT_CONNECTED;
    }

    private EndpointCall newCall(
            RouterOutput.StartAttempt start, CallerExchange exchange, RequestSpec spec) {
        Consumer<RouterInput> messages = message -> forward(start.attempt(), message);
        EventRelay events =
                new EventRelay(
                        start.attempt(),
                        start.position(),
                        exchange.lastEventId(),
                        tokensPerEvent.applyAsInt(spec.backEnd()),
                        StreamBound.of(spec.maxAnswerTokens(), clock.millis()),
                        clock,
                        messages);
        return new EndpointCall(
                start.attempt(),
                start.endpoint(),
                exchange,
                start.via().isPresent(),
                events,
                readers,
                bufferBudget,
                messages,
                timeline);
    }

    /**
     * Sends the request once all that arrived with the connection is read. The runtime reports a
     * close a turn after it was read.
     */
    private void sendLater(HttpClientRequest request, Sending sending) {
        connections.add(request.connection());
        request.exceptionHandler(lossBeforeItIsWritten -> {});
        vertx.runOnContext(read -> vertx.runOnContext(reported -> sendIfNeeded(request, sending)));
    }

    /**
     * Sends the request unless the attempt was cancelled, the caller has left or its time is over.
     * The router ends such a request itself.
     */
    private void sendIfNeeded(HttpClientRequest request, Sending sending) {
        Optional<CallerExchange> exchange = exchanges.apply(sending.start().request());
        boolean isLate = clock.millis() >= sending.spec().deadlineMillis();
        if (exchange.isEmpty() || isLate || !hasCall(sending.start().attempt())) {
            request.reset();
        } else {
            sendOrReconnect(request, exchange.get(), sending);
        }
    }

    /**
     * Sends the request, over a connection of its own if this one must not carry it. An endpoint
     * that closes a connection before its first request does so with the next one too.
     */
    private void sendOrReconnect(
            HttpClientRequest request, CallerExchange exchange, Sending sending) {
        Optional<ConnectionUse> use =
                connections.assign(request.connection(), exchange.head().id());
        if (use.isPresent()) {
            sendNow(request, exchange, use.get(), sending);
            return;
        }
        request.reset();
        if (connections.isUnused(request.connection())) {
            sending.call()
                    .connectionFailed(
                            new ConnectException("closed before the request was written"),
                            Cause.NOT_CONNECTED);
        } else {
            connect(singleUseClient, exchange, sending);
        }
    }

    /** Writes the request; one whose head can't be written was not sent. */
    private void sendNow(
            HttpClientRequest request,
            CallerExchange exchange,
            ConnectionUse use,
            Sending sending) {
        try {
            head(exchange, sending.spec(), sending.entry())
                    .write(exchange.request().headers(), request.headers());
        } catch (RuntimeException unwritable) {
            LOG.warn(
                    "head of a request to {} could not be written",
                    sending.entry().id(),
                    unwritable);
            request.reset();
            sending.call().connectionFailed(unwritable, Cause.NOT_CONNECTED);
            return;
        }
        sending.call().send(request, use);
        if (connections.isFull(request.connection())) {
            sending.call().retireConnection();
        }
    }

    /** Holds what is needed to send an attempt's request once it has a connection. */
    private record Sending(
            RouterOutput.StartAttempt start,
            EndpointCall call,
            RequestSpec spec,
            EndpointEntry entry,
            Optional<ProxyOptions> proxy) {}

    private void reportNotStarted(AttemptId attempt, String detail) {
        reportNotStarted(attempt, detail, Cause.NOT_CONNECTED);
    }

    private void reportNotStarted(AttemptId attempt, String detail, Cause cause) {
        inbox.accept(new RouterInput.AttemptFailed(attempt, RunState.NOT_RUN, detail, cause));
    }

    /** Returns true if the attempt has a call whose answer has not ended. */
    boolean hasCall(AttemptId attempt) {
        return calls.containsKey(attempt);
    }

    /** Returns the number of attempts whose answer has not ended. */
    int openCalls() {
        return calls.size();
    }

    /** Cancels an attempt and closes its connection. */
    void cancelAttempt(RouterOutput.CancelAttempt cancel) {
        Optional.ofNullable(calls.remove(cancel.attempt())).ifPresent(EndpointCall::cancel);
    }

    /**
     * Cancels the attempts that the router does not know.
     *
     * @return how many attempts were cancelled
     */
    int cancelOrphans(Predicate<AttemptId> isKnown) {
        List<AttemptId> orphans = orphanCheck.findFailing(calls.keySet(), isKnown);
        orphans.forEach(this::cancelOrphan);
        return orphans.size();
    }

    private void cancelOrphan(AttemptId attempt) {
        LOG.error("attempt {} is unknown to the router, cancelled", attempt);
        cancelAttempt(new RouterOutput.CancelAttempt(attempt));
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

    private static RequestOptions requestOptions(CallerExchange exchange, Sending sending) {
        Address address = sending.entry().address();
        RequestOptions options =
                new RequestOptions()
                        .setHost(address.ip())
                        .setPort(address.port())
                        .setMethod(exchange.request().method())
                        .setURI(exchange.request().uri());
        sending.proxy().ifPresent(options::setProxyOptions);
        return options;
    }

    private EndpointRequestHead head(
            CallerExchange exchange, RequestSpec spec, EndpointEntry entry) {
        return new EndpointRequestHead(
                entry.instance(),
                spec.deadlineMillis() - clock.millis(),
                Optional.of(spec.budget().value()).filter(name -> !name.isEmpty()),
                spec.traits().priority(),
                exchange.lastEventId().isPresent()
                        ? Optional.of(Long.toString(exchange.lastEventId().getAsLong()))
                        : Optional.empty());
    }

    private static HttpClientOptions clientOptions() {
        return new HttpClientOptions()
                .setMetricsName(LinkUse.ENDPOINTS)
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                .setReceiveBufferSize(RECEIVE_BUFFER_BYTES)
                .setTcpNoDelay(true);
    }
}
