package org.bramleylatch.core;

import java.util.Optional;

/**
 * Maps a caller's key to the budget and the workspace of a member.
 *
 * @param keySha256 the SHA-256 of the caller's key, in lower-case hexadecimal digits
 * @param budget the budget that its requests are billed to
 * @param workspace the workspace that the budget belongs to
 * @param priority the rank of its requests, 0 the most urgent; empty for that of their route
 * @param unmetered true if its requests are not billed
 */
public record MemberRow(
        String keySha256,
        BudgetId budget,
        String workspace,
        Optional<Integer> priority,
        boolean unmetered) {

    /** Returns a metered member without a priority of its own. */
    public MemberRow(String keySha256, BudgetId budget, String workspace) {
        this(keySha256, budget, workspace, Optional.empty(), false);
    }
}
