package org.bramleylatch.core;

/**
 * Holds the state of a planned move as the records of the log determine it.
 *
 * @param revision rises with each change of the stage or the state; the offset of the record,
 *     unless the log has come back from a copy since
 * @param stage the index of the current stage, from 0
 * @param old the attempts at the old version in the current stage
 * @param fresh the attempts at the new version in the current stage
 * @param test the evidence against the new version, over all stages
 * @param reason why the move ended; empty while it runs
 */
public record MoveRow(
        MoveSpec spec,
        long revision,
        State state,
        int stage,
        Tally old,
        Tally fresh,
        HealthTest test,
        String reason) {

    /** Says whether a move runs and, if it ended, which version it ended with. */
    public enum State {
        /** The new version gets the share of the current stage, the old version the rest. */
        RUNNING,
        /** All traffic goes to the new version. */
        DONE,
        /** All traffic goes to the old version. */
        TAKEN_BACK
    }

    /** Creates the row of a move that the record at the given offset begins. */
    public static MoveRow of(MoveSpec spec, long offset) {
        return new MoveRow(
                spec,
                offset,
                State.RUNNING,
                0,
                Tally.empty(),
                Tally.empty(),
                HealthTest.start(),
                "");
    }

    /** Returns true until the move is done or taken back. */
    public boolean isRunning() {
        return state == State.RUNNING;
    }

    /** Returns the share of the requests that go to the new version, in thousandths. */
    public int sharePermille() {
        return switch (state) {
            case RUNNING -> spec.stagesPermille().get(stage);
            case DONE -> VersionShare.WHOLE_PERMILLE;
            case TAKEN_BACK -> 0;
        };
    }

    /**
     * Adds the attempts of one report. The move is taken back if the test now finds the new version
     * bad; otherwise it advances once the stage has enough good attempts at the new version.
     *
     * @param mayFinish false if the last stage must go on although it has enough good attempts
     * @param offset the offset of the report in the log
     */
    public MoveRow withReport(
            Tally reportedOld, Tally reportedNew, boolean mayFinish, long offset) {
        Tally allOld = old.plus(reportedOld);
        MoveRow after =
                new MoveRow(
                        spec,
                        revision,
                        state,
                        stage,
                        allOld,
                        fresh.plus(reportedNew),
                        test.after(reportedNew, allOld),
                        reason);
        if (after.test.isBad()) {
            return after.ended(State.TAKEN_BACK, offset, "bad share " + after.fresh.badShare());
        }
        boolean isLastStage = stage + 1 == spec.stagesPermille().size();
        boolean mayAdvance = mayFinish || !isLastStage;
        return mayAdvance && after.fresh.good() >= spec.goodPerStage()
                ? after.advanced(offset)
                : after;
    }

    /** Ends the move in the given state at the given offset of the log. */
    public MoveRow ended(State endState, long offset, String endReason) {
        return new MoveRow(spec, revisionAt(offset), endState, stage, old, fresh, test, endReason);
    }

    /** Enters the next stage with empty counts but the same test, or ends the last stage. */
    private MoveRow advanced(long offset) {
        if (stage + 1 == spec.stagesPermille().size()) {
            return ended(State.DONE, offset, "all stages passed");
        }
        return new MoveRow(
                spec,
                revisionAt(offset),
                state,
                stage + 1,
                Tally.empty(),
                Tally.empty(),
                test,
                reason);
    }

    /** Returns a higher revision, also where the log gives out lower offsets in a later era. */
    private long revisionAt(long offset) {
        return Math.max(offset, revision + 1);
    }
}
