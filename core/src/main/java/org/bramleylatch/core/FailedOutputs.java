package org.bramleylatch.core;

import java.util.Optional;
import org.bramleylatch.core.RouterInput.AttemptFailed;
import org.bramleylatch.core.RouterInput.IntentRefused;
import org.bramleylatch.core.RouterInput.OutputFailed;

/**
 * Takes the requests further whose outputs could not be handled: fails the attempt, refuses the
 * request whose claim was not sent, or breaks off the answer.
 */
record FailedOutputs(RouterWorld world, AnswerRelay answers, Admission admission) {

    /** Returns false if no open request waits for the output. */
    boolean handle(OutputFailed failed) {
        if (failed.output() instanceof RouterOutput.StartAttempt start) {
            return answers.failAttempt(
                    new AttemptFailed(start.attempt(), RunState.UNKNOWN, failed.detail()));
        }
        if (failed.output() instanceof RouterOutput.DeliverTokens deliver) {
            return breakOff(deliver.request(), failed.detail());
        }
        return failed.output() instanceof RouterOutput.ToKeeper toKeeper
                && toKeeper.message() instanceof KeeperInput.IntentAsked asked
                && admission.refuseUnclaimed(
                        new IntentRefused(asked.key(), ResultCode.LOG_UNAVAILABLE));
    }

    private boolean breakOff(RequestId id, String detail) {
        Optional<RequestRow> row = world.requests().find(id);
        row.ifPresent(found -> RequestCompletion.refuse(world, found, ResultCode.INTERNAL, detail));
        return row.isPresent();
    }
}
