package org.bramleylatch.core;

/**
 * Is a member as its callers are known.
 *
 * @param keySha256 the SHA-256 of the caller's key, in lower-case hexadecimal digits
 * @param budget the budget that pays
 * @param workspace the workspace that the budget belongs to
 */
public record MemberRow(String keySha256, BudgetId budget, String workspace) {}
