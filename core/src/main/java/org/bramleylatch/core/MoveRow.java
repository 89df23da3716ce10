package org.bramleylatch.core;

/**
 * Is a move as the log has it.
 *
 * @param revision the offset of the last record that changed its stage or state
 * @param stage the number of the stage, from 0
 * @param old the attempts at the old version in this stage
 * @param fresh the attempts at the new version in this stage
 * @param test the evidence against the new version
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

    /** Tells how far a move has come. */
    public enum State {
        /** Traffic is being moved. */
        RUNNING,
        /** All traffic goes to the new version. */
        DONE,
        /** All traffic goes to the old version. */
        TAKEN_BACK
    }

    /** Returns a move that begins with the record at the given offset. */
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

    /** Returns true while the move runs. */
    public boolean isRunning() {
        return state == State.RUNNING;
    }

    /** Returns the part of the requests that the new version gets, in thousandths. */
    public int sharePermille() {
        return switch (state) {
            case RUNNING -> spec.stagesPermille().get(stage);
            case DONE -> VersionShare.WHOLE_PERMILLE;
            case TAKEN_BACK -> 0;
        };
    }

    /** Returns the move after attempts were reported; it may enter a stage or end. */
    public MoveRow observed(Tally moreOld, Tally moreFresh, long offset) {
        Tally allOld = old.plus(moreOld);
        MoveRow after =
                new MoveRow(
                        spec,
                        revision,
                        state,
                        stage,
                        allOld,
                        fresh.plus(moreFresh),
                        test.after(moreFresh, allOld),
                        reason);
        if (after.test.isBad()) {
            return after.ended(State.TAKEN_BACK, offset, "bad share " + after.fresh.badShare());
        }
        return after.fresh.good() >= spec.goodPerStage() ? after.advanced(offset) : after;
    }

    /** Returns the move after its end. */
    public MoveRow ended(State end, long offset, String why) {
        return new MoveRow(spec, offset, end, stage, old, fresh, test, why);
    }

    private MoveRow advanced(long offset) {
        if (stage + 1 == spec.stagesPermille().size()) {
            return ended(State.DONE, offset, "all stages passed");
        }
        return new MoveRow(
                spec, offset, state, stage + 1, Tally.empty(), Tally.empty(), test, reason);
    }
}
