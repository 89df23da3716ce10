package org.bramleylatch.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.streams.ReadStream;
import java.time.InstantSource;
import java.util.Optional;
import java.util.OptionalInt;
import org.bramleylatch.gateway.AnswerPause.Reason;

/**
 * Reads an answer no faster than its share of the event loop and its caller allow. What arrived
 * before the connection broke is handled before the loss is.
 */
final class AnswerReader {
    private final Vertx vertx;
    private final InstantSource clock;
    private final LoopShare share;
    private final ReadStream<Buffer> answer;
    private final AnswerParts parts;
    private final AnswerPause pause;
    private Optional<Throwable> loss = Optional.empty();
    private long sliceStartMillis;
    private int remainingPieces;
    private int lossChecks;
    private boolean stopped;

    /** Creates the readers of a client's answers. */
    @FunctionalInterface
    interface Factory {
        /** Starts to read an answer; must be called before the runtime reads on. */
        AnswerReader start(ReadStream<Buffer> answer, AnswerParts parts);
    }

    private AnswerReader(
            Vertx vertx,
            InstantSource clock,
            LoopShare share,
            ReadStream<Buffer> answer,
            AnswerParts parts) {
        this.vertx = vertx;
        this.clock = clock;
        this.share = share;
        this.answer = answer;
        this.parts = parts;
        this.pause = new AnswerPause(answer);
    }

    /** Returns a factory of readers that divide the event loop by the given share. */
    static Factory factory(Vertx vertx, InstantSource clock, LoopShare share) {
        return (answer, parts) -> {
            AnswerReader reader = new AnswerReader(vertx, clock, share, answer, parts);
            answer.handler(reader::receive);
            answer.endHandler(end -> reader.end());
            return reader;
        };
    }

    /** Stops or resumes reading for a caller. */
    void setCallerSlow(boolean slow) {
        if (slow) {
            hold(Reason.SLOW_CALLER);
        } else {
            pause.remove(Reason.SLOW_CALLER);
            readOn();
        }
    }

    /** Handles the loss of the connection once all that arrived before it is handled. */
    void loseConnection(Throwable failure) {
        if (loss.isEmpty()) {
            loss = Optional.of(failure);
            reportLossLater();
        }
    }

    /** Stops for good; what arrives later is neither handled nor read. */
    void stop() {
        stopped = true;
        answer.pause();
    }

    /** Drops what is left of the answer, so that the next one on its connection can be read. */
    void drop() {
        stopped = true;
        answer.resume();
    }

    private void receive(Buffer bytes) {
        if (stopped) {
            return;
        }
        beginSliceIfDue();
        parts.append().accept(bytes);
        remainingPieces -= LoopShare.piecesOf(bytes.length());
        handlePieces();
    }

    /** Takes the end for the loss if one was seen: it then ends an answer without a length. */
    private void end() {
        loss.ifPresentOrElse(parts.lose(), parts.end());
    }

    private void handlePieces() {
        boolean mayHaveNext = true;
        while (mayHaveNext && !stopped && !pause.isPaused()) {
            if (remainingPieces <= 0) {
                waitForNextSlice();
            } else {
                OptionalInt bytes = parts.handleNext().get();
                mayHaveNext = bytes.isPresent();
                bytes.ifPresent(count -> remainingPieces -= LoopShare.piecesOf(count));
            }
        }
    }

    private void beginSliceIfDue() {
        long nowMillis = clock.millis();
        if (nowMillis - sliceStartMillis >= LoopShare.SLICE_MILLIS) {
            sliceStartMillis = nowMillis;
            remainingPieces = share.pieces();
        }
    }

    private void waitForNextSlice() {
        hold(Reason.SHARE_USED);
        vertx.setTimer(LoopShare.SLICE_MILLIS, due -> beginSlice());
    }

    private void hold(Reason reason) {
        parts.hold().run();
        pause.add(reason);
    }

    private void beginSlice() {
        sliceStartMillis = clock.millis();
        remainingPieces = share.pieces();
        pause.remove(Reason.SHARE_USED);
        readOn();
    }

    /** Handles what was held back, and reads on unless that used up the share again. */
    private void readOn() {
        if (stopped) {
            return;
        }
        handlePieces();
        if (!stopped) {
            pause.resumeIfAllowed();
            loss.ifPresent(failure -> reportLossLater());
        }
    }

    /**
     * Reports the loss after the runtime handed over what it still holds of the answer; a check
     * from before reading went on comes too early.
     */
    private void reportLossLater() {
        lossChecks++;
        int check = lossChecks;
        vertx.setTimer(LoopShare.SLICE_MILLIS, due -> reportLoss(check));
    }

    private void reportLoss(int check) {
        if (check == lossChecks && !stopped && !pause.isPaused()) {
            loss.ifPresent(parts.lose());
        }
    }
}
