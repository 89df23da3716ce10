package org.bramleylatch.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.bramleylatch.core.Table;
import org.bramleylatch.edge.ChatText;
import org.bramleylatch.edge.EngineProtocol;
import org.bramleylatch.edge.HttpServers;
import org.bramleylatch.wire.Address;
import org.bramleylatch.wire.Json;
import org.kohsuke.args4j.Option;

/**
 * Simulates a model engine with continuous batching, limited memory and a cache of prompt prefixes.
 * It resumes answers at a position, cancels requests whose client disconnects and reports its load.
 * It also accepts control orders, each with a fencing number; with {@code --checks-fence} it
 * refuses an order whose number is lower than the highest one accepted.
 */
public final class EngineMain {
    private static final int UNAVAILABLE = 503;
    private static final int FAILED = 500;
    private static final int CONFLICT = 409;
    private static final int NOT_FOUND = 404;
    private static final int MAX_CACHED_PREFIXES = 64;
    private static final int MAX_ENDED_REQUESTS = 10_000;
    private static final int PERCENT = 100;

    private final Vertx vertx;
    private final Options options;
    private final Table<String, EngineRequestRow> activeRequests = Table.empty();
    private final Map<String, HttpServerResponse> responses = new HashMap<>();
    private final Map<String, EngineRequestRow> endedRequests =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, EngineRequestRow> eldest) {
                    return size() > MAX_ENDED_REQUESTS;
                }
            };
    private final Map<Long, Boolean> cachedPrefixes =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                    return size() > MAX_CACHED_PREFIXES;
                }
            };
    private EngineFaults faults = EngineFaults.none();
    private boolean leaving;
    private boolean stepScheduled;
    private long heldTokens;
    private long maxHeldTokens;
    private long highestFence;
    private long requestCount;

    private EngineMain(Vertx vertx, Options options) {
        this.vertx = vertx;
        this.options = options;
    }

    /** Starts the simulated engine with the given command line. */
    public static void main(String[] arguments) {
        StandinLauncher.run(arguments, new Options(), EngineMain::start);
    }

    private static CompletableFuture<?> start(Options options) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        EngineMain engine = new EngineMain(vertx, options);
        Router web = Router.router(vertx);
        web.route().handler(BodyHandler.create(false).setBodyLimit(-1));
        web.post("/v1/chat/completions").handler(engine::handleChat);
        web.get("/attempts/:id").handler(engine::reportAttempt);
        web.get("/load").handler(engine::reportLoad);
        web.put("/faults").handler(engine::setFaults);
        web.put("/leaving").handler(engine::startLeaving);
        web.post("/orders").handler(engine::acceptOrder);
        return HttpServers.listen(vertx, new Address(options.ip, options.port), web);
    }

    private void handleChat(RoutingContext call) {
        JsonNode body = Json.readTree(call.body().asString());
        String prompt = ChatText.promptText(body);
        String attemptHeader = call.request().getHeader(EngineProtocol.ATTEMPT_HEADER);
        String attempt = attemptHeader == null ? "direct-" + requestCount : attemptHeader;
        long promptTokens = ChatText.countTokens(prompt);
        long maxAnswerTokens = body.path("max_tokens").asLong(ChatText.DEFAULT_MAX_ANSWER_TOKENS);
        long worstCaseTokens = promptTokens + maxAnswerTokens;
        requestCount++;
        if (leaving || heldTokens + worstCaseTokens > options.memoryTokens) {
            refuse(call.response(), UNAVAILABLE, EngineProtocol.RUN_STATE_NOT_RUN);
        } else if (requestCount % PERCENT < faults.failPercent()) {
            refuse(call.response(), FAILED, EngineProtocol.RUN_STATE_UNKNOWN);
        } else {
            startRequest(
                    call,
                    attempt,
                    prompt,
                    new RequestSize(promptTokens, maxAnswerTokens, worstCaseTokens));
        }
    }

    private void refuse(HttpServerResponse response, int status, String runState) {
        response.putHeader(EngineProtocol.RUN_STATE_HEADER, runState).setStatusCode(status).end();
    }

    private void startRequest(
            RoutingContext call, String attempt, String prompt, RequestSize size) {
        long position = EngineProtocol.resumePosition(call.request());
        heldTokens += size.worstCaseTokens;
        maxHeldTokens = Math.max(maxHeldTokens, heldTokens);
        activeRequests.put(
                attempt,
                new EngineRequestRow(
                        attempt,
                        size.promptTokens,
                        ChatText.simulatedAnswerTokens(prompt, size.maxAnswerTokens),
                        size.worstCaseTokens,
                        position,
                        System.currentTimeMillis() + prefillMillis(prompt, size.promptTokens),
                        true));
        HttpServerResponse response = call.response();
        response.setChunked(true).putHeader("content-type", "text/event-stream");
        responses.put(attempt, response);
        response.closeHandler(closed -> removeRequest(attempt));
        scheduleStep();
    }

    private long prefillMillis(String prompt, long tokens) {
        boolean cached = cachedPrefixes.put(ChatText.prefixHash(prompt), true) != null;
        return cached ? 1 : 1 + tokens * options.prefillMicros / 1_000;
    }

    private void scheduleStep() {
        if (!stepScheduled && activeRequests.size() > 0) {
            stepScheduled = true;
            long slowFactor = Math.max(1, faults.slowFactor());
            vertx.setTimer(Math.max(1, options.stepMillis * slowFactor), id -> generateTokens());
        }
    }

    /** Generates one token for each active request whose prompt has been processed. */
    private void generateTokens() {
        stepScheduled = false;
        long nowMillis = System.currentTimeMillis();
        activeRequests
                .where(row -> row.prefillDoneAtMillis() <= nowMillis)
                .forEach(this::generateToken);
        scheduleStep();
    }

    private void generateToken(EngineRequestRow row) {
        HttpServerResponse response = responses.get(row.attempt());
        boolean stalled =
                faults.stallAfterTokens() > 0 && row.nextPosition() >= faults.stallAfterTokens();
        if (response == null || response.writeQueueFull() || stalled) {
            return;
        }
        long endPosition = row.answerTokens() - (faults.truncate() ? 1 : 0);
        if (faults.breakAfterTokens() > 0 && row.nextPosition() >= faults.breakAfterTokens()) {
            removeRequest(row.attempt());
            response.reset();
        } else if (row.nextPosition() >= endPosition) {
            finishAnswer(row, response);
        } else {
            sendToken(row, response);
        }
    }

    private void sendToken(EngineRequestRow row, HttpServerResponse response) {
        String line =
                EngineProtocol.tokenEvent(
                        row.attempt(), row.nextPosition(), tokenText(row.nextPosition()));
        response.write(line);
        if (faults.repeatTokens()) {
            response.write(line);
        }
        activeRequests.put(row.attempt(), row.advanceByOneToken());
    }

    private String tokenText(long position) {
        String word = ChatText.simulatedWord(position);
        return word.repeat(Math.max(1, options.wordBytes / word.length()));
    }

    private void finishAnswer(EngineRequestRow row, HttpServerResponse response) {
        response.write(
                EngineProtocol.endEvent(row.attempt(), row.answerTokens(), row.promptTokens()));
        response.end(EngineProtocol.DONE_EVENT);
        removeRequest(row.attempt());
    }

    private void removeRequest(String attempt) {
        activeRequests
                .remove(attempt)
                .ifPresent(
                        row -> {
                            heldTokens -= row.worstCaseTokens();
                            endedRequests.put(attempt, row.markEnded());
                        });
        responses.remove(attempt);
    }

    private void reportAttempt(RoutingContext call) {
        String id = call.pathParam("id");
        EngineRequestRow row = activeRequests.find(id).orElse(endedRequests.get(id));
        if (row == null) {
            call.response().setStatusCode(NOT_FOUND).end();
        } else {
            call.end(Json.write(Map.of("running", row.running(), "tokens", row.usedTokens())));
        }
    }

    private void reportLoad(RoutingContext call) {
        call.end(
                Json.write(
                        new EngineProtocol.Load(
                                heldTokens,
                                maxHeldTokens,
                                leaving,
                                List.copyOf(cachedPrefixes.keySet()))));
    }

    private void setFaults(RoutingContext call) {
        faults = Json.read(call.body().asString(), EngineFaults.class);
        call.end();
    }

    private void startLeaving(RoutingContext call) {
        leaving = true;
        call.end();
    }

    private void acceptOrder(RoutingContext call) {
        long fence = Json.readTree(call.body().asString()).path("fence").asLong();
        if (options.checksFence && fence < highestFence) {
            call.response().setStatusCode(CONFLICT).end();
        } else {
            highestFence = Math.max(highestFence, fence);
            call.end();
        }
    }

    private record RequestSize(long promptTokens, long maxAnswerTokens, long worstCaseTokens) {}

    private static final class Options {
        @Option(name = "--ip", usage = "IP address to listen on")
        private String ip = "127.0.0.1";

        @Option(name = "--port", required = true, usage = "port to listen on")
        private int port;

        @Option(
                name = "--memory-tokens",
                usage = "how many tokens fit into the memory of the engine")
        private long memoryTokens = 100_000;

        @Option(name = "--step-millis", usage = "milliseconds between two tokens of an answer")
        private long stepMillis = 10;

        @Option(name = "--prefill-micros", usage = "microseconds to process one token of a prompt")
        private long prefillMicros = 100;

        @Option(
                name = "--word-bytes",
                usage = "approximate bytes of text in a token; 0 for one word")
        private int wordBytes;

        @Option(name = "--checks-fence", usage = "refuse orders with an outdated fencing number")
        private boolean checksFence;
    }
}
