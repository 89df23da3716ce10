package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RequestKeyTest {
    private static final long ISSUED_MILLIS = 1_700_000_000_123L;

    @Test
    void aKeyContainsTheTimeAtWhichItWasIssued() {
        RequestKey key = RequestKey.of(ISSUED_MILLIS, 0xfedcba9876543210L);
        assertThat(key.issuedMillis()).isEqualTo(ISSUED_MILLIS);
        assertThat(RequestKey.parse(key.toString())).contains(key);
    }

    @Test
    void onlyAVersionSevenUuidIsAKey() {
        assertThat(RequestKey.parse("6f1c7a52-3f0e-4a0b-9a53-0d0f6c1f2b3a")).isEmpty();
        assertThat(RequestKey.parse("booking 17")).isEmpty();
    }

    @Test
    void equalKeysOfTwoBudgetsDoNotCollide() {
        RequestKey key = RequestKey.of(ISSUED_MILLIS, 42);
        RequestKey one = key.scopedTo(BudgetId.of("one"));
        RequestKey two = key.scopedTo(BudgetId.of("two"));
        assertThat(one).isNotEqualTo(two);
        assertThat(one.issuedMillis()).isEqualTo(ISSUED_MILLIS);
        assertThat(RequestKey.parse(one.toString())).contains(one);
    }
}
