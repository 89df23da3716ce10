package org.bramleylatch.proof;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiFunction;
import java.util.stream.IntStream;

/**
 * Holds what an endpoint does with one request.
 *
 * @param name the name of the behavior
 * @param ran true if the endpoint ran the request
 * @param broken true if the endpoint does not give its whole answer
 * @param early true if the endpoint answers before it has read the request's body
 * @param delayMillis the time until the first part
 * @param gapMillis the time between two parts
 * @param parts what is written, one after the other
 * @param ending what becomes of the connection after the last part
 * @param copy what is written a second time, late; empty for an endpoint that answers once
 */
record SoakAnswer(
        String name,
        boolean ran,
        boolean broken,
        boolean early,
        long delayMillis,
        long gapMillis,
        List<String> parts,
        Ending ending,
        Optional<Copy> copy) {
    private static final int MAX_SILENCE_MILLIS = 2_500;
    private static final int MIN_SILENCE_MILLIS = 300;
    private static final int COMMENTS_PER_PART = 200;
    private static final String STATUS_OK = "200 OK";
    private static final String STATUS_FAILED = "500 Failed";
    private static final long NEVER = Long.MAX_VALUE;

    /** Lists what becomes of a connection after an answer. */
    enum Ending {
        KEEP,
        CLOSE,
        RESET
    }

    /**
     * Holds an answer that is written a second time, at the latest once the next request on the
     * connection is read.
     *
     * @param idleMillis the time after the end of the first answer
     */
    record Copy(String text, long idleMillis) {}

    /**
     * Holds what a behavior may use: the head of the answer, its body in pieces, and chance.
     *
     * @param earlierRuns the number of the request's runs so far
     */
    record Plan(
            String id,
            boolean isStream,
            List<String> pieces,
            String headers,
            int earlierRuns,
            Random random) {}

    /** Decides what an endpoint does with a request. */
    @FunctionalInterface
    interface Behavior {
        SoakAnswer answer(Plan plan);
    }

    private static final List<Behavior> TROUBLES =
            List.of(
                    plan -> sound("late", plan, silence(plan), 0),
                    plan -> sound("slow", plan, 0, 20 + plan.random.nextInt(100)),
                    plan -> sound("silent within", plan, 0, silence(plan)),
                    SoakAnswer::withoutLength,
                    SoakAnswer::refusal,
                    SoakAnswer::earlyAnswer,
                    SoakAnswer::comments,
                    SoakAnswer::failure,
                    SoakAnswer::faulty,
                    plan -> broken("closed before", plan, 0, Ending.CLOSE),
                    plan -> broken("reset before", plan, 0, Ending.RESET),
                    plan -> broken("closed within", plan, within(plan), Ending.CLOSE),
                    plan -> broken("reset within", plan, within(plan), Ending.RESET));

    private static final List<Behavior> FAULTS =
            List.of(
                    plan -> faulty("ends within an event", plan, SoakAnswer::cutWithin),
                    plan -> faulty("no event", plan, SoakAnswer::withoutSense),
                    plan -> faulty("lacks an event", plan, SoakAnswer::withoutInnerPiece));

    /**
     * Draws what an endpoint does; a bit more than half of all answers are plain and sound, one of
     * six is written twice.
     */
    static SoakAnswer draw(Plan plan) {
        SoakAnswer answer =
                plan.random.nextInt(5) < 3
                        ? sound("sound", plan, plan.random.nextInt(60), 0)
                        : TROUBLES.get(plan.random.nextInt(TROUBLES.size())).answer(plan);
        return plan.random.nextInt(6) == 0 ? answer.writtenTwice(plan) : answer;
    }

    /**
     * Draws what an endpoint does that often fails a request again after a faulty answer, which it
     * writes twice; most answers are sound, so that the gateway does not eject the endpoint.
     */
    static SoakAnswer drawTwice(Plan plan) {
        if (plan.earlierRuns > 0) {
            return plan.random.nextBoolean() ? failure(plan) : prompt(plan);
        }
        return switch (plan.random.nextInt(40)) {
            case 0, 1 -> faulty(plan).writtenTwice(plan);
            case 2 -> prompt(plan).writtenTwice(plan);
            case 3 -> failure(plan).writtenTwice(plan);
            default -> prompt(plan);
        };
    }

    /** Draws a sound answer that takes a short time. */
    static SoakAnswer prompt(Plan plan) {
        return sound("sound", plan, plan.random.nextInt(20), 0);
    }

    /** Returns the refusal of a request that is meant for another endpoint. */
    static SoakAnswer misdirected(Plan plan) {
        return refused("misdirected", "421 Misdirected Request", plan, "");
    }

    /** Returns true if the endpoint answers with a success, whole or not. */
    boolean isSuccess() {
        return hasStatus(STATUS_OK);
    }

    boolean isFailure() {
        return hasStatus(STATUS_FAILED);
    }

    private boolean hasStatus(String status) {
        return !parts.isEmpty() && parts.get(0).startsWith("HTTP/1.1 " + status);
    }

    /** Returns the answer on a connection that the gateway closes because of an earlier answer. */
    SoakAnswer behindCopy() {
        return new SoakAnswer(
                name + " behind a copy",
                ran,
                true,
                early,
                delayMillis,
                gapMillis,
                parts,
                ending,
                copy);
    }

    /** Returns the answer with a copy, which is sound if the answer is a success. */
    private SoakAnswer writtenTwice(Plan plan) {
        if (ending != Ending.KEEP) {
            return this;
        }
        String text = String.join("", isSuccess() ? framed(plan) : parts);
        long idleMillis = plan.random.nextInt(4) == 0 ? plan.random.nextInt(100) : NEVER;
        return new SoakAnswer(
                name + " twice",
                ran,
                broken,
                early,
                delayMillis,
                gapMillis,
                parts,
                ending,
                Optional.of(new Copy(text, idleMillis)));
    }

    private static SoakAnswer failure(Plan plan) {
        return whole("failure", plan, STATUS_FAILED, "no");
    }

    /** Returns a stream that is whole by its length only; a plain request is answered soundly. */
    private static SoakAnswer faulty(Plan plan) {
        return plan.isStream && !plan.pieces.isEmpty()
                ? FAULTS.get(plan.random.nextInt(FAULTS.size())).answer(plan)
                : prompt(plan);
    }

    private static SoakAnswer faulty(
            String name, Plan plan, BiFunction<List<String>, Integer, String> damage) {
        int index = plan.random.nextBoolean() ? 0 : plan.random.nextInt(plan.pieces.size());
        return whole(name, plan, STATUS_OK, damage.apply(plan.pieces, index));
    }

    private static String cutWithin(List<String> pieces, int index) {
        return join(pieces, 0, index) + pieces.get(index).trim();
    }

    private static String withoutSense(List<String> pieces, int index) {
        return join(pieces, 0, index) + "x\n\n" + join(pieces, index, pieces.size());
    }

    /** Leaves out an event between two others, since only those show that it is missing. */
    private static String withoutInnerPiece(List<String> pieces, int index) {
        int last = pieces.size() - 1;
        int missing = Math.max(1, Math.min(index, last - 1));
        return last < 2
                ? cutWithin(pieces, 0)
                : join(pieces, 0, missing) + join(pieces, missing + 1, pieces.size());
    }

    private static String join(List<String> pieces, int from, int to) {
        return String.join("", pieces.subList(from, to));
    }

    private static SoakAnswer whole(String name, Plan plan, String status, String body) {
        String end = "content-length: " + body.length() + "\r\n\r\n" + body;
        return new SoakAnswer(
                name,
                true,
                true,
                false,
                plan.random.nextInt(20),
                0,
                List.of(head(status, plan, end)),
                Ending.KEEP,
                Optional.empty());
    }

    private static SoakAnswer refusal(Plan plan) {
        return refused("refusal", "503 Busy", plan, "retry-after: 0.1\r\n");
    }

    private static SoakAnswer refused(String name, String status, Plan plan, String header) {
        String end = "not-executed: 1\r\n" + header + "content-length: 0\r\n\r\n";
        List<String> parts = List.of(head(status, plan, end));
        return new SoakAnswer(
                name, false, false, false, 0, 0, parts, Ending.KEEP, Optional.empty());
    }

    private static SoakAnswer sound(String name, Plan plan, long delayMillis, long gapMillis) {
        List<String> parts = gapMillis == 0 ? List.of(String.join("", framed(plan))) : framed(plan);
        return new SoakAnswer(
                name,
                true,
                false,
                false,
                delayMillis,
                gapMillis,
                parts,
                Ending.KEEP,
                Optional.empty());
    }

    private static SoakAnswer withoutLength(Plan plan) {
        List<String> parts = new ArrayList<>(plan.pieces);
        parts.add(0, head(STATUS_OK, plan, "\r\n"));
        return new SoakAnswer(
                "without length",
                true,
                false,
                false,
                0,
                plan.random.nextInt(50),
                parts,
                Ending.CLOSE,
                Optional.empty());
    }

    private static SoakAnswer earlyAnswer(Plan plan) {
        return new SoakAnswer(
                "early",
                true,
                false,
                true,
                0,
                0,
                List.of(String.join("", framed(plan))),
                Ending.KEEP,
                Optional.empty());
    }

    /** Sends many comments between the events; the answer to a plain request is sent in pieces. */
    private static SoakAnswer comments(Plan plan) {
        if (!plan.isStream) {
            return sound("pieces", plan, 0, 10);
        }
        String comments = chunk(":abc\n\n".repeat(COMMENTS_PER_PART));
        List<String> parts =
                framed(plan).stream().flatMap(part -> List.of(part, comments).stream()).toList();
        return new SoakAnswer(
                "comments",
                true,
                false,
                false,
                0,
                10,
                parts.subList(0, parts.size() - 1),
                Ending.KEEP,
                Optional.empty());
    }

    private static SoakAnswer broken(String name, Plan plan, int partCount, Ending ending) {
        return new SoakAnswer(
                name,
                true,
                true,
                false,
                plan.random.nextInt(60),
                10,
                framed(plan).subList(0, partCount),
                ending,
                Optional.empty());
    }

    /** Returns how many parts are sent of an answer that breaks off; never all of them. */
    private static int within(Plan plan) {
        return 1 + plan.random.nextInt(plan.pieces.size());
    }

    /** Returns a head, a chunk for each piece, and the last chunk. */
    private static List<String> framed(Plan plan) {
        List<String> parts = new ArrayList<>();
        parts.add(head(STATUS_OK, plan, "transfer-encoding: chunked\r\n\r\n"));
        IntStream.range(0, plan.pieces.size())
                .forEach(index -> parts.add(chunk(plan.pieces.get(index))));
        parts.add("0\r\n\r\n");
        return parts;
    }

    private static String head(String status, Plan plan, String last) {
        return "HTTP/1.1 " + status + "\r\nrequest-id: " + plan.id + "\r\n" + plan.headers + last;
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static long silence(Plan plan) {
        return MIN_SILENCE_MILLIS + plan.random.nextInt(MAX_SILENCE_MILLIS - MIN_SILENCE_MILLIS);
    }
}
