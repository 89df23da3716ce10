package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RetryAdviceTest {

    @Test
    void aCallerOfAStoppingRouterIsToldToRetrySoonerThanOneOfAnOverloadedRouter() {
        assertThat(RetryAdvice.afterMillis(ResultCode.SHUTTING_DOWN))
                .isLessThan(RetryAdvice.afterMillis(ResultCode.OVERLOADED));
    }

    @Test
    void aCallerThatLacksTokensIsToldToRetryLaterThanOneOfAnOverloadedRouter() {
        assertThat(RetryAdvice.afterMillis(ResultCode.BUDGET_UNAVAILABLE))
                .isGreaterThan(RetryAdvice.afterMillis(ResultCode.OVERLOADED));
    }
}
