package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Checks the budget protocol's specification, and that each rule in it is needed. */
class BudgetSpecTest {
    private static final Spec SPEC = Spec.of("budget.als");

    @Test
    void spendStaysWithinWhatWasPaid() {
        assertThat(SPEC.hasCounterexampleTo("SpendStaysWithinWhatWasPaid")).isFalse();
    }

    @Test
    void booksBalance() {
        assertThat(SPEC.hasCounterexampleTo("BooksBalance")).isFalse();
    }

    @Test
    void eachRequestIsBilledOnce() {
        assertThat(SPEC.hasCounterexampleTo("EachRequestIsBilledOnce")).isFalse();
    }

    @Test
    void aTimerThatReclaimsTheShareOfAPausedHolderOverspends() {
        assertThat(SPEC.with("timer").hasCounterexampleTo("SpendStaysWithinWhatWasPaid")).isTrue();
    }

    @Test
    void aReturnThatIsTakenTwiceOverspends() {
        assertThat(SPEC.without("unnumbered").hasCounterexampleTo("SpendStaysWithinWhatWasPaid"))
                .isTrue();
    }

    @Test
    void aReservationThatBindsNothingOverspends() {
        assertThat(SPEC.without("unbound").hasCounterexampleTo("SpendStaysWithinWhatWasPaid"))
                .isTrue();
    }

    @Test
    void usageThatIsNotKeyedIsBilledTwice() {
        assertThat(SPEC.without("unkeyed").hasCounterexampleTo("EachRequestIsBilledOnce")).isTrue();
    }
}
