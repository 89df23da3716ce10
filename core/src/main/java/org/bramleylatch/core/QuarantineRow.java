package org.bramleylatch.core;

/**
 * Keeps requests with one part of a prompt from the endpoints that it crashes.
 *
 * @param crashes the crashes that the part explains
 * @param clears the answers that were completed on prompts with the part
 * @param retrialAtMillis when a single request may test whether the part still crashes endpoints
 */
public record QuarantineRow(PromptPartId part, int crashes, int clears, long retrialAtMillis) {}
