package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against taking a late copy of an earlier answer for the answer to a request. */
class AnswerEvidenceTest {
    private static final String ID = "request-2";
    private static final Optional<String> SAME = Optional.of(ID);
    private static final Optional<String> OTHER = Optional.of("request-1");
    private static final Optional<String> NONE = Optional.empty();

    @Test
    void aSignedSuccessWithTheRequestsIdAnswersTheRequest() {
        assertThat(judge(200, SAME, true, false, 7)).isEqualTo(AnswerVerdict.ANSWER);
    }

    @Test
    void aSuccessWithoutASignatureAnswersNoRequest() {
        assertThat(judge(200, SAME, false, false, 1)).isEqualTo(AnswerVerdict.UNATTRIBUTED);
    }

    @Test
    void aSuccessWithoutAnIdAnswersNoRequest() {
        assertThat(judge(200, NONE, true, false, 1)).isEqualTo(AnswerVerdict.UNATTRIBUTED);
    }

    @Test
    void aFailureWithoutAnIdAnswersTheFirstRequestOnItsConnectionOnly() {
        assertThat(judge(404, NONE, true, false, 1)).isEqualTo(AnswerVerdict.ANSWER);
        assertThat(judge(404, NONE, true, false, 2)).isEqualTo(AnswerVerdict.UNATTRIBUTED);
    }

    @Test
    void aRefusalWithoutAnIdRefusesTheFirstRequestOnItsConnectionOnly() {
        assertThat(judge(503, NONE, false, true, 1)).isEqualTo(AnswerVerdict.REFUSAL);
        assertThat(judge(503, NONE, false, true, 2)).isEqualTo(AnswerVerdict.UNATTRIBUTED);
    }

    @Test
    void aRefusalWithTheRequestsIdRefusesItOnAnyConnection() {
        assertThat(judge(421, SAME, false, true, 2)).isEqualTo(AnswerVerdict.REFUSAL);
    }

    @Test
    void anAnswerWithAnotherIdAnswersNoRequest() {
        assertThat(judge(200, OTHER, true, false, 1)).isEqualTo(AnswerVerdict.UNATTRIBUTED);
        assertThat(judge(404, OTHER, true, false, 1)).isEqualTo(AnswerVerdict.UNATTRIBUTED);
        assertThat(judge(503, OTHER, false, true, 1)).isEqualTo(AnswerVerdict.UNATTRIBUTED);
    }

    @Test
    void aStatusThatPromisesNotRunWithoutTheEndpointsStatementProvesNothing() {
        for (int status : new int[] {408, 421, 429, 503}) {
            assertThat(judge(status, SAME, true, false, 1)).isEqualTo(AnswerVerdict.UNPROVEN);
        }
    }

    @Test
    void anInterimAnswerProvesNothing() {
        assertThat(judge(102, SAME, true, false, 1)).isEqualTo(AnswerVerdict.UNPROVEN);
    }

    @Test
    void aHeadThatIsMadeOfTwoAnswersAnswersNoRequest() {
        for (int status : new int[] {200, 404, 503}) {
            assertThat(new AnswerEvidence(status, SAME, true, status == 503, true, 2).judge(ID))
                    .isEqualTo(AnswerVerdict.UNATTRIBUTED);
        }
    }

    @Test
    void theDescriptionOfAnAnswerIsShortHoweverLongTheIdIs() {
        Optional<String> longId = Optional.of("x".repeat(10_000));
        assertThat(new AnswerEvidence(200, longId, true, false, false, 1).describe())
                .hasSizeLessThan(200);
    }

    @Test
    void onlyASuccessKeepsItsConnection() {
        assertThat(new AnswerEvidence(204, SAME, true, false, false, 1).keepsConnection()).isTrue();
        assertThat(new AnswerEvidence(404, SAME, true, false, false, 1).keepsConnection())
                .isFalse();
        assertThat(new AnswerEvidence(102, SAME, true, false, false, 1).keepsConnection())
                .isFalse();
    }

    private static AnswerVerdict judge(
            int status,
            Optional<String> answeredId,
            boolean signed,
            boolean reportsNotRun,
            int connectionUses) {
        return new AnswerEvidence(status, answeredId, signed, reportsNotRun, false, connectionUses)
                .judge(ID);
    }
}
