package org.bramleylatch.proof;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntPredicate;
import java.util.function.ToIntFunction;
import java.util.stream.IntStream;
import org.bramleylatch.proof.SoakRequest.End;
import org.bramleylatch.proof.SoakRequest.EndKind;

/** Runs the callers: connects them, and each tick sends what is due and ends what left. */
final class SoakCallers {
    /** Four fifths of the shortest idle timeout, for which callers use a connection again. */
    private static final int MAX_IDLE_MILLIS = 160;

    private static final int RECONNECT_MILLIS = 50;
    private static final int CONTINUE_MILLIS = 1_000;
    private static final int STATUS_CONTINUE = 100;

    private final SoakWorld world;
    private final SoakProcess process;
    private final NetClient client;
    private final Random random;
    private final Habits habits;
    private int requestCount;
    private boolean stopped;

    /**
     * Holds what callers do.
     *
     * @param count the number of callers
     * @param requests decides what they send
     * @param pause draws the milliseconds between an answer and the next request
     * @param stays true for the number of a caller that uses a connection until it is gone, even
     *     when an answer says that it will be closed
     */
    record Habits(
            int count,
            SoakRequestText.Source requests,
            ToIntFunction<Random> pause,
            IntPredicate stays) {
        /** Returns the habits of callers that send requests of all kinds. */
        static Habits mixed() {
            return new Habits(
                    30,
                    SoakRequestText::draw,
                    random -> random.nextBoolean() ? 0 : random.nextInt(MAX_IDLE_MILLIS),
                    number -> number % 3 == 0);
        }

        /** Returns the habits of callers that send short streams one after the other. */
        static Habits streaming() {
            return new Habits(
                    12, SoakRequestText::shortStream, random -> 0, number -> number % 3 == 0);
        }
    }

    SoakCallers(SoakWorld world, SoakProcess process, Habits habits) {
        this.habits = habits;
        this.world = world;
        this.process = process;
        this.client = world.vertx().createNetClient();
        this.random = new Random(world.seed() + 1);
    }

    void start() {
        IntStream.range(0, habits.count())
                .forEach(
                        number ->
                                put(
                                        SoakCaller.disconnected(
                                                number, world.nowMillis() + random.nextInt(500))));
    }

    /** Begins no more requests. */
    void stop() {
        stopped = true;
    }

    /** Connects, sends or leaves for each caller that is due. */
    void tick(long nowMillis) {
        world.callers().where(caller -> caller.leaveMillis() <= nowMillis).forEach(this::leave);
        world.callers().where(caller -> caller.dueMillis() <= nowMillis).forEach(this::act);
    }

    private void act(SoakCaller caller) {
        if (caller.socket().isEmpty()) {
            connect(caller);
        } else if (caller.request().isEmpty()) {
            if (!stopped) {
                begin(caller);
            }
        } else if (caller.unsentParts().isEmpty()) {
            caller.socket().ifPresent(NetSocket::resume);
            put(caller.dueAt(SoakCaller.NEVER));
        } else {
            sendPart(caller);
        }
    }

    private void connect(SoakCaller caller) {
        put(caller.dueAt(SoakCaller.NEVER));
        int processNumber = process.number();
        client.connect(process.callerPort(), SoakEndpoints.LOOPBACK)
                .onSuccess(socket -> attach(caller, processNumber, socket))
                .onFailure(refused -> put(caller.dueAt(world.nowMillis() + RECONNECT_MILLIS)));
    }

    private void attach(SoakCaller caller, int processNumber, NetSocket socket) {
        socket.exceptionHandler(SoakSockets::ignoreBrokenConnection);
        socket.handler(bytes -> receive(caller.number(), socket, bytes));
        socket.closeHandler(closed -> readRestAndDisconnect(caller.number(), socket));
        put(caller.connected(socket, processNumber, nextMillis()));
    }

    /** Lets a caller that reads slowly read what arrived before the connection closed. */
    private void readRestAndDisconnect(int number, NetSocket socket) {
        socket.resume();
        world.vertx().runOnContext(done -> disconnect(number, socket, EndKind.CLOSED));
    }

    private void begin(SoakCaller caller) {
        requestCount++;
        String newId = "s" + world.seed() + "-" + requestCount;
        SoakRequestText text = habits.requests().draw(random, newId, caller);
        long nowMillis = world.nowMillis();
        SoakCaller.Connection connection = caller.connection().orElseThrow();
        world.requests()
                .put(
                        text.id(),
                        new SoakRequest(
                                text.id(),
                                text.route(),
                                text.size(),
                                connection.process(),
                                connection.closing(),
                                text.deadlineMillis(),
                                nowMillis,
                                Optional.empty(),
                                text.slowMillis(),
                                Optional.empty()));
        long leaveMillis =
                text.leaveAfterMillis().map(after -> nowMillis + after).orElse(SoakCaller.NEVER);
        sendPart(caller.begun(text.id(), text.parts(), leaveMillis));
    }

    private void sendPart(SoakCaller caller) {
        String part = caller.unsentParts().get(0);
        NetSocket socket = caller.socket().orElseThrow();
        long nowMillis = world.nowMillis();
        String id = caller.request().orElseThrow();
        socket.write(Buffer.buffer(part.getBytes(StandardCharsets.ISO_8859_1)));
        boolean waitsForContinue = part.contains("\r\nexpect: ");
        if (caller.unsentParts().size() > 1) {
            long gapMillis = waitsForContinue ? CONTINUE_MILLIS : random.nextInt(40);
            put(caller.withPartSent(nowMillis + gapMillis));
            return;
        }
        SoakRequest sent = world.requests().find(id).orElseThrow().withSent(nowMillis);
        world.requests().put(id, sent);
        if (sent.slowMillis() > 0) {
            socket.pause();
        }
        put(
                caller.withPartSent(
                        sent.slowMillis() > 0 ? nowMillis + sent.slowMillis() : SoakCaller.NEVER));
    }

    private void receive(int number, NetSocket socket, Buffer bytes) {
        SoakCaller caller = world.callers().find(number).orElseThrow();
        if (!caller.socket().filter(socket::equals).isPresent()) {
            return;
        }
        SoakCaller next =
                caller.withReceived(
                        caller.received() + bytes.toString(StandardCharsets.ISO_8859_1));
        put(next);
        if (caller.request().isEmpty()) {
            world.report("bytes without a request", "caller " + number + ": " + next.received());
            socket.close();
            return;
        }
        SoakMessage.parse(next.received())
                .ifPresent(message -> handleAnswer(next, socket, message));
    }

    private void handleAnswer(SoakCaller caller, NetSocket socket, SoakMessage message) {
        if (message.status() == STATUS_CONTINUE) {
            int end = message.end().orElseThrow();
            SoakCaller next =
                    caller.withReceived(caller.received().substring(end)).dueAt(world.nowMillis());
            put(next);
            SoakMessage.parse(next.received())
                    .ifPresent(answer -> handleAnswer(next, socket, answer));
        } else if (message.isComplete()) {
            boolean isClosing = message.header("connection").equalsIgnoreCase("close");
            boolean keep =
                    caller.unsentParts().isEmpty()
                            && (!isClosing || habits.stays().test(caller.number()));
            end(caller, EndKind.COMPLETE, Optional.of(message));
            if (keep) {
                put(caller.idleUntil(nextMillis(), isClosing));
            } else {
                socket.close();
                connect(SoakCaller.disconnected(caller.number(), world.nowMillis()));
            }
        }
    }

    private long nextMillis() {
        return world.nowMillis() + habits.pause().applyAsInt(random);
    }

    private void leave(SoakCaller caller) {
        caller.socket()
                .ifPresent(
                        socket -> {
                            disconnect(caller.number(), socket, EndKind.CALLER_LEFT);
                            socket.close();
                        });
    }

    /** Ends the caller's open request; the caller connects again. */
    private void disconnect(int number, NetSocket socket, EndKind kind) {
        world.callers()
                .find(number)
                .filter(caller -> caller.socket().filter(socket::equals).isPresent())
                .ifPresent(
                        caller -> {
                            end(caller, kind, SoakMessage.parse(caller.received()));
                            put(
                                    SoakCaller.disconnected(
                                            number, world.nowMillis() + random.nextInt(20)));
                        });
    }

    /** Ends the open request that has no end in time, so that the caller goes on. */
    void giveUp(String id) {
        world.callers()
                .where(caller -> caller.request().filter(id::equals).isPresent())
                .forEach(
                        caller ->
                                caller.socket()
                                        .ifPresent(
                                                socket -> {
                                                    disconnect(
                                                            caller.number(),
                                                            socket,
                                                            EndKind.OVERDUE);
                                                    socket.close();
                                                }));
    }

    private void end(SoakCaller caller, EndKind kind, Optional<SoakMessage> answer) {
        caller.request()
                .ifPresent(
                        id ->
                                world.requests()
                                        .update(
                                                id,
                                                request ->
                                                        request.withEnd(
                                                                new End(
                                                                        kind,
                                                                        world.nowMillis(),
                                                                        answer))));
    }

    private void put(SoakCaller caller) {
        world.callers().put(caller.number(), caller);
    }
}
