package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against filling an endpoint until its answers come too late. */
class ConcurrencyLimitTest {

    @Test
    void anEndpointThatHasNotBeenOverloadedHasNoLimit() {
        assertThat(ConcurrencyLimit.unlimited().allows(1_000)).isTrue();
    }

    @Test
    void overloadLowersTheLimitBelowTheRequestsThatRun() {
        ConcurrencyLimit lowered = ConcurrencyLimit.unlimited().overloaded(20, 1_000);
        assertThat(lowered.allows(15)).isTrue();
        assertThat(lowered.allows(16)).isFalse();
    }

    @Test
    void signsOfTheSameOverloadLowerTheLimitOnce() {
        ConcurrencyLimit lowered = ConcurrencyLimit.unlimited().overloaded(20, 1_000);
        assertThat(lowered.overloaded(20, 1_100)).isEqualTo(lowered);
    }

    @Test
    void theLimitNeverFallsBelowThree() {
        ConcurrencyLimit limit = ConcurrencyLimit.unlimited();
        for (int second = 1; second < 100; second++) {
            limit = limit.overloaded(1, second * 1_000L);
        }
        assertThat(limit.allows(2)).isTrue();
    }

    @Test
    void answersInTimeRaiseALimitThatIsInUse() {
        ConcurrencyLimit limit = ConcurrencyLimit.unlimited().overloaded(10, 1_000);
        for (int count = 0; count < 20; count++) {
            limit = limit.answeredInTime(8);
        }
        assertThat(limit.allows(9)).isTrue();
    }

    @Test
    void answersOfAnIdleEndpointDoNotRaiseTheLimit() {
        ConcurrencyLimit lowered = ConcurrencyLimit.unlimited().overloaded(20, 1_000);
        assertThat(lowered.answeredInTime(1)).isEqualTo(lowered);
    }
}
