package org.bramleylatch.core;

import java.util.Optional;
import org.bramleylatch.core.LedgerRecord.MoveBegun;
import org.bramleylatch.core.LedgerRecord.MoveExpired;
import org.bramleylatch.core.LedgerRecord.MoveObserved;
import org.bramleylatch.core.LedgerRecord.MoveTakenBack;

/**
 * Applies the records about planned moves to the ledger. Moves advance and end only here, while
 * records are folded, so every reader of the log computes the same state and no process has to
 * coordinate a move.
 */
record MoveRules(Ledger ledger) {
    /** Leaves time to end the answers of the old version and to tell the operator. */
    private static final long FINISH_MILLIS = 4_000;

    private static final Optional<ResultCode> ACCEPTED = Optional.empty();

    Optional<ResultCode> begin(MoveBegun record, long offset) {
        RouteName route = record.spec().route();
        if (ledger.moves().find(route).filter(MoveRow::isRunning).isPresent()) {
            return Optional.of(ResultCode.MOVE_RUNNING);
        }
        if (record.spec().deadlineMillis() <= ledger.logMillis()) {
            return Optional.of(ResultCode.MOVE_EXPIRED);
        }
        ledger.moves().put(route, MoveRow.of(record.spec(), offset));
        return ACCEPTED;
    }

    Optional<ResultCode> order(LedgerRecord.MoveOrdered record, long offset) {
        RouteName route = record.spec().route();
        if (ledger.moves().has(route)) {
            return Optional.of(ResultCode.MOVE_RUNNING);
        }
        ledger.moves().put(route, MoveRow.of(record.spec(), offset));
        return ACCEPTED;
    }

    Optional<ResultCode> observe(MoveObserved record, long offset) {
        Optional<MoveRow> move = findRunning(record.route(), record.to());
        if (move.isEmpty()) {
            return Optional.of(ResultCode.MOVE_NOT_RUNNING);
        }
        if (isPastDeadline(move.get())) {
            return end(move.get(), offset, "deadline");
        }
        Tally newAttempts =
                move.get().stage() == record.stage() ? record.newAttempts() : withoutGood(record);
        MoveRow after =
                move.get()
                        .withReport(
                                record.oldAttempts(), newAttempts, mayFinish(move.get()), offset);
        ledger.moves()
                .put(
                        record.route(),
                        record.alarm() && after.isRunning()
                                ? after.ended(MoveRow.State.TAKEN_BACK, offset, "router alarm")
                                : after);
        return ACCEPTED;
    }

    Optional<ResultCode> expire(MoveExpired record, long offset) {
        return findRunning(record.route(), record.to())
                .filter(this::isPastDeadline)
                .map(move -> end(move, offset, "deadline"))
                .orElse(Optional.of(ResultCode.MOVE_NOT_RUNNING));
    }

    Optional<ResultCode> takeBack(MoveTakenBack record, long offset) {
        return ledger.moves()
                .find(record.route())
                .filter(MoveRow::isRunning)
                .map(move -> end(move, offset, "operator " + record.operator()))
                .orElse(Optional.of(ResultCode.MOVE_NOT_RUNNING));
    }

    private Optional<ResultCode> end(MoveRow move, long offset, String reason) {
        ledger.moves()
                .put(move.spec().route(), move.ended(MoveRow.State.TAKEN_BACK, offset, reason));
        return ACCEPTED;
    }

    /**
     * Returns true once a move that an operator ordered may end its last stage. It tests the new
     * version until shortly before its deadline, as some versions become bad late.
     */
    private boolean mayFinish(MoveRow move) {
        return !move.spec().route().isOrdered()
                || ledger.logMillis() >= move.spec().deadlineMillis() - FINISH_MILLIS;
    }

    private boolean isPastDeadline(MoveRow move) {
        return ledger.logMillis() >= move.spec().deadlineMillis();
    }

    private Optional<MoveRow> findRunning(RouteName route, Version to) {
        return ledger.moves()
                .find(route)
                .filter(MoveRow::isRunning)
                .filter(move -> move.spec().to().equals(to));
    }

    /**
     * Drops the good attempts of a report on another stage, so that a late report does not help the
     * current stage pass; its bad attempts still count against the new version.
     */
    private static Tally withoutGood(MoveObserved record) {
        return new Tally(0, record.newAttempts().bad());
    }
}
