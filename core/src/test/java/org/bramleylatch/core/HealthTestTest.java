package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class HealthTestTest {
    private static final Tally OLD = new Tally(990, 10);

    @Test
    void aVersionThatAlwaysFailsIsBadWithinAHandfulOfAttempts() {
        assertThat(HealthTest.start().after(new Tally(0, 6), OLD).isBad()).isTrue();
    }

    @Test
    void aVersionAsGoodAsTheOldOneIsNotBad() {
        HealthTest test = HealthTest.start();
        for (int hundred = 0; hundred < 100; hundred++) {
            test = test.after(new Tally(99, 1), OLD);
        }
        assertThat(test.isBad()).isFalse();
    }

    @Test
    void aVersionThatTurnsBadLateIsFoundAsFast() {
        HealthTest late = HealthTest.start().after(new Tally(100_000, 0), OLD);
        assertThat(late.after(new Tally(0, 6), OLD).isBad()).isTrue();
    }

    @Test
    void aVersionIsJudgedAgainstTheOldOneAtTheSameTime() {
        Tally alsoFailing = new Tally(70, 30);
        assertThat(HealthTest.start().after(new Tally(14, 6), alsoFailing).isBad()).isFalse();
        assertThat(HealthTest.start().after(new Tally(14, 6), OLD).isBad()).isTrue();
    }
}
