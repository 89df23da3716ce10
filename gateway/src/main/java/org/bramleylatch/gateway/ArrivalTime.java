package org.bramleylatch.gateway;

/**
 * Bounds when a request's head arrived, in milliseconds: a process that is behind can't tell how
 * long it waited.
 *
 * @param earliestMillis when the event loop may have read it at the earliest, had it not been late
 * @param readMillis when it was read
 */
record ArrivalTime(long earliestMillis, long readMillis) {}
