package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Checks the Alloy model of the budget protocol. The tests that expect a counterexample show that
 * the model finds the fault which a removed rule prevents.
 */
class BudgetSpecTest {
    private static final AlloySpec SPEC = AlloySpec.of("budget.als");

    @Test
    void spendStaysWithinWhatWasPaid() {
        assertThat(SPEC.hasCounterexampleTo("SpendStaysWithinWhatWasPaid")).isFalse();
    }

    @Test
    void everyPaidTokenIsFreeGrantedOrBilled() {
        assertThat(SPEC.hasCounterexampleTo("BooksBalance")).isFalse();
    }

    @Test
    void eachRequestIsBilledOnce() {
        assertThat(SPEC.hasCounterexampleTo("EachRequestIsBilledOnce")).isFalse();
    }

    @Test
    void aTimerThatReclaimsTheTokensOfAPausedKeeperOverspends() {
        assertThat(
                        SPEC.withUncommentedLine("timer")
                                .hasCounterexampleTo("SpendStaysWithinWhatWasPaid"))
                .isTrue();
    }

    @Test
    void aReturnThatIsAppliedTwiceOverspends() {
        assertThat(
                        SPEC.withoutLine("unnumbered")
                                .hasCounterexampleTo("SpendStaysWithinWhatWasPaid"))
                .isTrue();
    }

    @Test
    void aReturnOfAKeeperThatWasTakenOverOverspends() {
        assertThat(SPEC.withoutLine("unfenced").hasCounterexampleTo("SpendStaysWithinWhatWasPaid"))
                .isTrue();
    }

    @Test
    void aReservationOfCommittedTokensOverspends() {
        assertThat(SPEC.withoutLine("unbound").hasCounterexampleTo("SpendStaysWithinWhatWasPaid"))
                .isTrue();
    }

    @Test
    void usageThatIsNotBilledByKeyIsBilledTwice() {
        assertThat(SPEC.withoutLine("unkeyed").hasCounterexampleTo("EachRequestIsBilledOnce"))
                .isTrue();
    }

    /** Guards against tokens given out twice, as a successor frees some that may have been used. */
    @Test
    void aReservationBeyondTheLimitInTheLogOverspends() {
        assertThat(SPEC.withoutLine("unlimited").hasCounterexampleTo("SpendStaysWithinWhatWasPaid"))
                .isTrue();
    }

    /** Guards against a heartbeat that replaces the limit which the keeper relied on. */
    @Test
    void aReservationBeyondTheLimitOfAHeartbeatOnItsWayOverspends() {
        assertThat(SPEC.withoutLine("overtaken").hasCounterexampleTo("SpendStaysWithinWhatWasPaid"))
                .isTrue();
    }

    @Test
    void aSuccessorThatDisregardsTheTimeSinceTheHeartbeatOverspends() {
        assertThat(SPEC.withoutLine("unpaced").hasCounterexampleTo("SpendStaysWithinWhatWasPaid"))
                .isTrue();
    }
}
