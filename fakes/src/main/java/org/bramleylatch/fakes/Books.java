package org.bramleylatch.fakes;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.bramleylatch.core.BudgetId;
import org.bramleylatch.core.GrantKey;
import org.bramleylatch.core.RequestKey;

/**
 * Is a plain oracle: what was paid in, what runs and what was used, in maps. It knows nothing of
 * grants, logs or keepers.
 */
public final class Books {
    private final Map<BudgetId, Long> paidTokens = new HashMap<>();
    private final Map<RequestKey, Run> runs = new HashMap<>();
    private final Map<BudgetId, Long> boundTokens = new HashMap<>();
    private final Set<RequestKey> bookings = new HashSet<>();

    /** Starts books without budgets. */
    public Books() {}

    /** Notes a payment, in tokens. */
    public void paid(BudgetId budget, long tokens) {
        paidTokens.merge(budget, tokens, Long::sum);
    }

    /** Notes that a request may now use up to the given tokens. */
    public void started(RequestKey key, GrantKey grant, long worstTokens) {
        Run before = runs.get(key);
        long most = Math.max(worstTokens, before == null ? 0 : before.tokens);
        replace(key, new Run(grant.budget(), most));
    }

    /** Notes what a request used in the end, in tokens. */
    public void used(RequestKey key, long tokens) {
        replace(key, new Run(runs.get(key).budget, tokens));
    }

    /** Notes the single run of a booking; returns false if it ran before. */
    public boolean booked(RequestKey key) {
        return bookings.add(key);
    }

    /** Returns what may have been spent of a budget so far, in tokens. */
    public long boundTokens(BudgetId budget) {
        return boundTokens.getOrDefault(budget, 0L);
    }

    /** Returns what was paid into a budget, in tokens. */
    public long paidTokens(BudgetId budget) {
        return paidTokens.getOrDefault(budget, 0L);
    }

    /** Returns how much more may have been spent than was paid, over all budgets, in tokens. */
    public long overspentTokens() {
        return boundTokens.entrySet().stream()
                .mapToLong(e -> Math.max(0, e.getValue() - paidTokens(e.getKey())))
                .sum();
    }

    private void replace(RequestKey key, Run run) {
        Run before = runs.put(key, run);
        long change = run.tokens - (before == null ? 0 : before.tokens);
        boundTokens.merge(run.budget, change, Long::sum);
    }

    private record Run(BudgetId budget, long tokens) {}
}
