package org.bramleylatch.core;

import java.util.Optional;
import org.bramleylatch.core.LedgerRecord.MoveBegun;
import org.bramleylatch.core.LedgerRecord.MoveExpired;
import org.bramleylatch.core.LedgerRecord.MoveObserved;
import org.bramleylatch.core.LedgerRecord.MoveTakenBack;

/**
 * Folds the records of moves. The fold itself advances, ends and takes back, so that no process has
 * to be in charge of a move.
 */
record MoveRules(Ledger ledger) {
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

    Optional<ResultCode> observe(MoveObserved record, long offset) {
        Optional<MoveRow> move = running(record.route(), record.to());
        if (move.isEmpty()) {
            return Optional.of(ResultCode.MOVE_NOT_RUNNING);
        }
        if (isLate(move.get())) {
            return end(move.get(), offset, "deadline");
        }
        Tally fresh = move.get().stage() == record.stage() ? record.fresh() : onlyBad(record);
        MoveRow after = move.get().observed(record.old(), fresh, offset);
        ledger.moves()
                .put(
                        record.route(),
                        record.alarm() && after.isRunning()
                                ? after.ended(MoveRow.State.TAKEN_BACK, offset, "router alarm")
                                : after);
        return ACCEPTED;
    }

    Optional<ResultCode> expire(MoveExpired record, long offset) {
        return running(record.route(), record.to())
                .filter(this::isLate)
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

    private boolean isLate(MoveRow move) {
        return ledger.logMillis() >= move.spec().deadlineMillis();
    }

    private Optional<MoveRow> running(RouteName route, Version to) {
        return ledger.moves()
                .find(route)
                .filter(MoveRow::isRunning)
                .filter(move -> move.spec().to().equals(to));
    }

    /** Keeps a late report from counting as good evidence for a later stage. */
    private static Tally onlyBad(MoveObserved record) {
        return new Tally(0, record.fresh().bad());
    }
}
