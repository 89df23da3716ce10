package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Checks the Alloy model of requests that may run only once. The tests that expect a counterexample
 * show that the model finds the fault which a removed rule prevents.
 */
class IntentSpecTest {
    private static final AlloySpec SPEC = AlloySpec.of("intent.als");

    @Test
    void aRequestRunsAtMostOnce() {
        assertThat(SPEC.hasCounterexampleTo("RunsAtMostOnce")).isFalse();
    }

    @Test
    void aRefusalThatSaysNotRunIsTrue() {
        assertThat(SPEC.hasCounterexampleTo("RefusalIsTrue")).isFalse();
    }

    @Test
    void aClaimThatReplacesAnEarlierOneRunsTwice() {
        assertThat(SPEC.withoutLine("first").hasCounterexampleTo("RunsAtMostOnce")).isTrue();
    }

    @Test
    void aRouterThatDoesNotReadItsClaimBackRunsTwice() {
        assertThat(SPEC.withoutLine("readback").hasCounterexampleTo("RunsAtMostOnce")).isTrue();
    }

    @Test
    void aClaimThatAnotherRouterMayEndRunsTwice() {
        assertThat(SPEC.withoutLine("own").hasCounterexampleTo("RunsAtMostOnce")).isTrue();
    }
}
