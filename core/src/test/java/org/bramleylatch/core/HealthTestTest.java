package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class HealthTestTest {
    private static final Tally OLD = new Tally(990, 10);

    @Test
    void aVersionThatAlwaysFailsIsBadWithinSixAttempts() {
        assertThat(HealthTest.start().after(new Tally(0, 6), OLD).isBad()).isTrue();
    }

    @Test
    void aVersionAsGoodAsTheOldOneIsNotBad() {
        HealthTest test = HealthTest.start();
        for (int round = 0; round < 100; round++) {
            test = test.after(new Tally(99, 1), OLD);
        }
        assertThat(test.isBad()).isFalse();
    }

    @Test
    void aVersionThatBecomesBadLateIsDetectedAsFast() {
        HealthTest late = HealthTest.start().after(new Tally(100_000, 0), OLD);
        assertThat(late.after(new Tally(0, 6), OLD).isBad()).isTrue();
    }

    @Test
    void aVersionIsComparedWithTheOldOneAtTheSameTime() {
        Tally alsoFailing = new Tally(70, 30);
        assertThat(HealthTest.start().after(new Tally(14, 6), alsoFailing).isBad()).isFalse();
        assertThat(HealthTest.start().after(new Tally(14, 6), OLD).isBad()).isTrue();
    }
}
