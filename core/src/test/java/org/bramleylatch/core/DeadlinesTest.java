package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class DeadlinesTest {
    private final Deadlines<String> deadlines = Deadlines.empty();

    @Test
    void aNewDeadlineReplacesTheOldOne() {
        deadlines.set("a", 10);
        deadlines.set("a", 20);
        assertThat(deadlines.takeDue(15)).isEmpty();
        assertThat(deadlines.takeDue(20)).containsExactly("a");
    }

    @Test
    void dueKeysComeEarliestFirst() {
        deadlines.set("late", 20);
        deadlines.set("early", 10);
        assertThat(deadlines.earliestMillis()).hasValue(10);
        assertThat(deadlines.takeDue(30)).containsExactly("early", "late");
    }

    @Test
    void aClearedDeadlineNeverComesDue() {
        deadlines.set("a", 10);
        deadlines.clear("a");
        assertThat(deadlines.has("a")).isFalse();
        assertThat(deadlines.earliestMillis()).isEmpty();
        assertThat(deadlines.takeDue(99)).isEmpty();
    }
}
