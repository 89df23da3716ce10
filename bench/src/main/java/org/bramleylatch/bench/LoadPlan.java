package org.bramleylatch.bench;

/**
 * Describes a load of chats; the JSON report repeats it under the names of the components.
 *
 * @param perSecond the mean number of chats sent per second, at random times
 * @param seconds the time during which chats are sent
 * @param promptLines the length of a prompt, in repetitions of one sentence
 * @param mostTokens the maximum length of an answer, in tokens
 * @param seed the seed of the arrival times
 */
record LoadPlan(double perSecond, int seconds, int promptLines, int mostTokens, long seed) {}
