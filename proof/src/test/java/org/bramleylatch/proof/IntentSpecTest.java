package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Checks the specification of requests that may run once, and that each rule in it is needed. */
class IntentSpecTest {
    private static final Spec SPEC = Spec.of("intent.als");

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
        assertThat(SPEC.without("first").hasCounterexampleTo("RunsAtMostOnce")).isTrue();
    }

    @Test
    void aRouterThatDoesNotReadItsClaimBackRunsTwice() {
        assertThat(SPEC.without("readback").hasCounterexampleTo("RunsAtMostOnce")).isTrue();
    }

    @Test
    void anEndThatAnotherRouterMayWriteRunsTwice() {
        assertThat(SPEC.without("own").hasCounterexampleTo("RunsAtMostOnce")).isTrue();
    }
}
