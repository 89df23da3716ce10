package org.bramleylatch.bench;

/**
 * Describes a load.
 *
 * @param perSecond arrivals a second, at random times
 * @param seconds how long chats arrive
 * @param promptLines the length of a prompt, in lines
 * @param mostTokens the longest answer
 * @param seed fixes the times of arrival
 */
record LoadPlan(double perSecond, int seconds, int promptLines, int mostTokens, long seed) {}
