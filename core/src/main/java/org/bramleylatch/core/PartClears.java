package org.bramleylatch.core;

/**
 * Counts the answers that a router saw completed on prompts with a part that is suspected.
 *
 * @param clears the completed answers since shortly before the part was first suspected
 */
public record PartClears(PromptPartId id, int clears) {}
