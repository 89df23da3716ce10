package org.bramleylatch.proof;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.bramleylatch.bench.FreePorts;
import org.bramleylatch.platform.LoopbackStore;

/** Runs the endpoints: reads requests, and each tick writes the parts of answers that are due. */
final class SoakEndpoints {
    static final String LOOPBACK = "127.0.0.1";
    private static final int PER_SERVICE = 3;
    private static final int PIECES = 4;

    private final SoakWorld world;
    private final LoopbackStore store;
    private final Map<String, String> latestEntries = new HashMap<>();
    private final Habits habits;

    /**
     * Holds what endpoints do.
     *
     * @param perService the number of endpoints of a service, up to 3
     * @param behavior decides what they do with a request
     */
    record Habits(int perService, SoakAnswer.Behavior behavior) {
        /** Returns the habits of endpoints with troubles of all kinds. */
        static Habits mixed() {
            return new Habits(PER_SERVICE, SoakAnswer::draw);
        }

        static Habits prompt() {
            return new Habits(PER_SERVICE, SoakAnswer::prompt);
        }

        /** Returns the habits of endpoints that often get a request again after they failed it. */
        static Habits answeringTwice() {
            return new Habits(1, SoakAnswer::drawTwice);
        }
    }

    SoakEndpoints(SoakWorld world, LoopbackStore store, Habits habits) {
        this.world = world;
        this.store = store;
        this.habits = habits;
    }

    void start() {
        IntStream.range(0, 2 * PER_SERVICE)
                .filter(number -> number % PER_SERVICE < habits.perService())
                .forEach(number -> start(number, number < PER_SERVICE ? "llm" : "app"));
    }

    private void start(int number, String service) {
        int port = FreePorts.pick(LOOPBACK);
        world.vertx()
                .createNetServer(new NetServerOptions().setHost(LOOPBACK).setPort(port))
                .connectHandler(socket -> accept(port, socket))
                .listen()
                .toCompletionStage()
                .toCompletableFuture()
                .join();
        replace(new SoakEndpoint(number, port, 0, service, SoakEndpoint.READY, 0));
    }

    /** Puts the row in place of the one before, in the registry too. */
    void replace(SoakEndpoint endpoint) {
        world.endpoints()
                .find(endpoint.port())
                .filter(before -> !before.name().equals(endpoint.name()))
                .ifPresent(before -> register(before.name(), ""));
        world.endpoints().put(endpoint.port(), endpoint);
        boolean isGone = endpoint.state().equals(SoakEndpoint.GONE);
        register(endpoint.name(), isGone ? "" : endpoint.registryJson());
    }

    /** Writes the latest entry of each endpoint again, also of those that were removed. */
    void registerAgain() {
        Map.copyOf(latestEntries).forEach(this::register);
    }

    private void register(String name, String json) {
        latestEntries.put(name, json);
        store.put(
                "keyed.servers",
                name.getBytes(StandardCharsets.UTF_8),
                json.getBytes(StandardCharsets.UTF_8));
    }

    /** Writes the parts and copies that are due, unless their endpoint is silent. */
    void tick(long nowMillis) {
        world.runs()
                .where(run -> !run.done() && run.dueMillis() <= nowMillis && !isSilent(run))
                .forEach(run -> advance(run, nowMillis));
    }

    private boolean isSilent(SoakRun run) {
        return world.endpoints()
                .find(run.port())
                .filter(endpoint -> endpoint.silentUntilMillis() > world.nowMillis())
                .isPresent();
    }

    private void advance(SoakRun run, long nowMillis) {
        if (run.hasPartsLeft()) {
            write(run.socket(), run.answer().parts().get(run.writtenParts()));
            world.putRun(run.withPartWritten(nowMillis + run.answer().gapMillis()));
        } else if (run.hasCopyLeft()) {
            if (run.isCopyDue(nowMillis)) {
                writeCopy(run);
            }
        } else {
            world.putRun(run.ended());
            finish(run.answer().ending(), run.socket());
        }
    }

    private void writeCopy(SoakRun run) {
        write(run.socket(), run.answer().copy().orElseThrow().text());
        world.putRun(run.withCopyWritten());
    }

    private static void write(NetSocket socket, String text) {
        socket.write(Buffer.buffer(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    private static void finish(SoakAnswer.Ending ending, NetSocket socket) {
        if (ending == SoakAnswer.Ending.RESET) {
            SoakSockets.reset(socket);
        } else if (ending == SoakAnswer.Ending.CLOSE) {
            socket.close();
        }
    }

    private void accept(int port, NetSocket socket) {
        StringBuilder received = new StringBuilder();
        boolean[] isStarted = {false};
        socket.exceptionHandler(SoakSockets::ignoreBrokenConnection);
        socket.handler(
                bytes -> {
                    received.append(bytes.toString(StandardCharsets.ISO_8859_1));
                    SoakMessage.parse(received.toString())
                            .ifPresent(message -> read(port, socket, message, isStarted, received));
                });
    }

    /** Starts to answer once the request is read; an early answer starts at its head. */
    private void read(
            int port,
            NetSocket socket,
            SoakMessage message,
            boolean[] isStarted,
            StringBuilder received) {
        SoakAnswer answer = draw(port, message);
        if (!isStarted[0] && (answer.early() || message.isComplete())) {
            isStarted[0] = true;
            start(port, socket, message, answer);
        }
        if (message.isComplete()) {
            isStarted[0] = false;
            received.delete(0, message.end().orElseThrow());
        }
    }

    /** Begins a run; copies of earlier answers on the connection go ahead of its answer. */
    private void start(int port, NetSocket socket, SoakMessage message, SoakAnswer drawn) {
        long nowMillis = world.nowMillis();
        world.runs()
                .where(earlier -> earlier.socket() == socket && earlier.hasCopyLeft())
                .forEach(this::writeCopy);
        boolean isBehindCopy =
                world.runs().rows().anyMatch(run -> run.socket() == socket && run.copied());
        SoakAnswer answer = isBehindCopy ? drawn.behindCopy() : drawn;
        SoakRun run =
                new SoakRun(
                        nextNumber(),
                        message.header("request-id"),
                        message.header("expect-instance"),
                        port,
                        answer,
                        socket,
                        nowMillis,
                        nowMillis + answer.delayMillis(),
                        0,
                        false,
                        false);
        world.putRun(run);
        socket.closeHandler(closed -> world.runs().update(run.number(), SoakRun::ended));
    }

    private int nextNumber() {
        return world.runs().size() + 1;
    }

    private SoakAnswer draw(int port, SoakMessage message) {
        String id = message.header("request-id");
        String instance = message.header("expect-instance");
        int earlierRuns = world.runsOf(id).size();
        SoakEndpoint endpoint = world.endpoints().find(port).orElseThrow();
        SoakAnswer.Plan plan =
                new SoakAnswer.Plan(
                        id,
                        message.firstLine().contains("/chat/"),
                        pieces(message, id),
                        headers(endpoint, message),
                        earlierRuns,
                        new Random(world.seed() * 31 + (id + instance + earlierRuns).hashCode()));
        return endpoint.name().equals(instance)
                ? habits.behavior().answer(plan)
                : SoakAnswer.misdirected(plan);
    }

    private String headers(SoakEndpoint endpoint, SoakMessage message) {
        String type = message.firstLine().contains("/chat/") ? "text/event-stream" : "text/plain";
        return "server-seal: "
                + SoakRun.signature(nextNumber())
                + "\r\ncontent-type: "
                + type
                + "\r\n"
                + (endpoint.state().equals(SoakEndpoint.DRAINING) ? "server-leaving: 1\r\n" : "");
    }

    /** Returns the events or bytes of the answer from where the gateway wants it to go on. */
    private static List<String> pieces(SoakMessage message, String id) {
        String path = message.firstLine().split(" ")[1];
        int size = Integer.parseInt(path.substring(path.lastIndexOf('/') + 1));
        if (!path.startsWith("/chat/")) {
            String whole = SoakRequest.whole(id, size);
            int length = Math.max(1, whole.length() / PIECES);
            return IntStream.iterate(0, start -> start < size, start -> start + length)
                    .mapToObj(start -> whole.substring(start, Math.min(size, start + length)))
                    .toList();
        }
        int first =
                Optional.of(message.header("last-event-id"))
                        .filter(last -> !last.isEmpty())
                        .map(last -> Integer.parseInt(last) + 1)
                        .orElse(1);
        return IntStream.rangeClosed(first, size)
                .mapToObj(number -> SoakRequest.events(id, number, number))
                .toList();
    }
}
