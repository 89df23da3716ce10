package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RetryAdviceTest {

    @Test
    void aCallerOfAStoppingRouterComesBackSoonerThanOneWhoseEndpointsAreFull() {
        assertThat(RetryAdvice.afterMillis(ResultCode.SHUTTING_DOWN))
                .isLessThan(RetryAdvice.afterMillis(ResultCode.OVERLOADED));
    }

    @Test
    void tokensTakeLongerThanAPlaceAtAnEndpoint() {
        assertThat(RetryAdvice.afterMillis(ResultCode.BUDGET_UNAVAILABLE))
                .isGreaterThan(RetryAdvice.afterMillis(ResultCode.OVERLOADED));
    }
}
