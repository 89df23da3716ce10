package org.bramleylatch.proof;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
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
 */
record SoakAnswer(
        String name,
        boolean ran,
        boolean broken,
        boolean early,
        long delayMillis,
        long gapMillis,
        List<String> parts,
        Ending ending) {
    private static final int MAX_SILENCE_MILLIS = 2_500;
    private static final int MIN_SILENCE_MILLIS = 300;
    private static final int COMMENTS_PER_PART = 200;

    /** Lists what becomes of a connection after an answer. */
    enum Ending {
        KEEP,
        CLOSE,
        RESET
    }

    /** Holds what a behavior may use: the head of the answer, its body in pieces, and chance. */
    record Plan(String id, boolean isStream, List<String> pieces, String headers, Random random) {}

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
                    plan -> broken("closed before", plan, 0, Ending.CLOSE),
                    plan -> broken("reset before", plan, 0, Ending.RESET),
                    plan -> broken("closed within", plan, within(plan), Ending.CLOSE),
                    plan -> broken("reset within", plan, within(plan), Ending.RESET));

    /** Draws what an endpoint does; a bit more than half of all answers are plain and sound. */
    static SoakAnswer draw(Plan plan) {
        return plan.random.nextInt(5) < 3
                ? sound("sound", plan, plan.random.nextInt(60), 0)
                : TROUBLES.get(plan.random.nextInt(TROUBLES.size())).answer(plan);
    }

    /** Draws a sound answer that takes a short time. */
    static SoakAnswer prompt(Plan plan) {
        return sound("sound", plan, plan.random.nextInt(20), 0);
    }

    /** Returns the refusal of a request that is meant for another endpoint. */
    static SoakAnswer misdirected(Plan plan) {
        return refused("misdirected", "421 Misdirected Request", plan, "");
    }

    private static SoakAnswer refusal(Plan plan) {
        return refused("refusal", "503 Busy", plan, "retry-after: 0.1\r\n");
    }

    private static SoakAnswer refused(String name, String status, Plan plan, String header) {
        String end = "not-executed: 1\r\n" + header + "content-length: 0\r\n\r\n";
        List<String> parts = List.of(head(status, plan, end));
        return new SoakAnswer(name, false, false, false, 0, 0, parts, Ending.KEEP);
    }

    private static SoakAnswer sound(String name, Plan plan, long delayMillis, long gapMillis) {
        List<String> parts = gapMillis == 0 ? List.of(String.join("", framed(plan))) : framed(plan);
        return new SoakAnswer(name, true, false, false, delayMillis, gapMillis, parts, Ending.KEEP);
    }

    private static SoakAnswer withoutLength(Plan plan) {
        List<String> parts = new ArrayList<>(plan.pieces);
        parts.add(0, head("200 OK", plan, "\r\n"));
        return new SoakAnswer(
                "without length",
                true,
                false,
                false,
                0,
                plan.random.nextInt(50),
                parts,
                Ending.CLOSE);
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
                Ending.KEEP);
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
                Ending.KEEP);
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
                ending);
    }

    /** Returns how many parts are sent of an answer that breaks off; never all of them. */
    private static int within(Plan plan) {
        return 1 + plan.random.nextInt(plan.pieces.size());
    }

    /** Returns a head, a chunk for each piece, and the last chunk. */
    private static List<String> framed(Plan plan) {
        List<String> parts = new ArrayList<>();
        parts.add(head("200 OK", plan, "transfer-encoding: chunked\r\n\r\n"));
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
