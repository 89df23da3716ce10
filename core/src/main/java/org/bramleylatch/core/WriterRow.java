package org.bramleylatch.core;

/**
 * Is the progress of one writer of a stream.
 *
 * @param sequence the highest sequence that the fold has taken
 * @param lastMillis the time of that record, in milliseconds
 */
public record WriterRow(Incarnation writer, long sequence, long lastMillis) {}
