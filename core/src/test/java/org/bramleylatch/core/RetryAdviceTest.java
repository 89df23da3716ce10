package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RetryAdviceTest {

    @Test
    void aCallerOfAStoppingRouterIsToldToRetrySoonerThanOneOfAnOverloadedRouter() {
        assertThat(RetryAdvice.retryAfterMillis(ResultCode.SHUTTING_DOWN))
                .isLessThan(RetryAdvice.retryAfterMillis(ResultCode.OVERLOADED));
    }

    @Test
    void aCallerThatLacksTokensIsToldToRetryLaterThanOneOfAnOverloadedRouter() {
        assertThat(RetryAdvice.retryAfterMillis(ResultCode.BUDGET_UNAVAILABLE))
                .isGreaterThan(RetryAdvice.retryAfterMillis(ResultCode.OVERLOADED));
    }
}
