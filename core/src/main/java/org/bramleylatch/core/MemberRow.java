package org.bramleylatch.core;

import java.util.Optional;

/**
 * Is a member as its callers are known.
 *
 * @param keySha256 the SHA-256 of the caller's key, in lower-case hexadecimal digits
 * @param budget the budget that pays
 * @param workspace the workspace that the budget belongs to
 * @param priority the rank of its requests, before that of their route; empty for none
 * @param unmetered true if its requests draw on no budget
 */
public record MemberRow(
        String keySha256,
        BudgetId budget,
        String workspace,
        Optional<Integer> priority,
        boolean unmetered) {

    /** Returns a member whose budget pays. */
    public MemberRow(String keySha256, BudgetId budget, String workspace) {
        this(keySha256, budget, workspace, Optional.empty(), false);
    }
}
