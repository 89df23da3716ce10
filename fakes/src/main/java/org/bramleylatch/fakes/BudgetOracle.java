package org.bramleylatch.fakes;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.bramleylatch.core.BudgetId;
import org.bramleylatch.core.GrantKey;
import org.bramleylatch.core.RequestKey;

/**
 * Tracks for each budget what was paid in and what requests have used or may still use, as a test
 * oracle. It uses plain maps and shares no logic with grants, the log or keepers, so that a fault
 * there cannot also falsify the oracle.
 */
public final class BudgetOracle {
    private final Map<BudgetId, Long> paidTokens = new HashMap<>();
    private final Map<RequestKey, Run> runs = new HashMap<>();
    private final Map<BudgetId, Long> committedTokens = new HashMap<>();
    private final Set<RequestKey> executedKeys = new HashSet<>();

    /** Creates an oracle without budgets. */
    public BudgetOracle() {}

    /** Records a payment into a budget. */
    public void recordPayment(BudgetId budget, long tokens) {
        paidTokens.merge(budget, tokens, Long::sum);
    }

    /**
     * Records that a request was started and may use up to the given tokens. If it was started
     * before, the larger limit counts.
     */
    public void recordStart(RequestKey key, GrantKey grant, long maxTokens) {
        Run before = runs.get(key);
        long highestTokens = Math.max(maxTokens, before == null ? 0 : before.tokens);
        replace(key, new Run(grant.budget(), highestTokens));
    }

    /** Records what a started request has used, in place of what it might have used. */
    public void recordUsage(RequestKey key, long tokens) {
        replace(key, new Run(runs.get(key).budget, tokens));
    }

    /** Records the run of a request that must not run twice; returns false if it ran before. */
    public boolean recordSingleRun(RequestKey key) {
        return executedKeys.add(key);
    }

    /**
     * Returns the usage of all requests of a budget, in tokens: what finished ones have used and
     * what running ones may use at most.
     */
    public long committedTokens(BudgetId budget) {
        return committedTokens.getOrDefault(budget, 0L);
    }

    /** Returns the sum of the payments into a budget, in tokens. */
    public long paidTokens(BudgetId budget) {
        return paidTokens.getOrDefault(budget, 0L);
    }

    /**
     * Returns by how many tokens the possible usage exceeds the payments, summed over the budgets
     * that are overspent.
     */
    public long overspentTokens() {
        return committedTokens.entrySet().stream()
                .mapToLong(e -> Math.max(0, e.getValue() - paidTokens(e.getKey())))
                .sum();
    }

    private void replace(RequestKey key, Run run) {
        Run before = runs.put(key, run);
        long change = run.tokens - (before == null ? 0 : before.tokens);
        committedTokens.merge(run.budget, change, Long::sum);
    }

    private record Run(BudgetId budget, long tokens) {}
}
