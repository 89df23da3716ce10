package org.bramleylatch.core;

/**
 * Holds the progress of one writer of a stream.
 *
 * @param sequence the sequence number of the writer's last folded record
 * @param lastMillis the time of the log at that record, in milliseconds since the epoch
 */
public record WriterRow(Incarnation writer, long sequence, long lastMillis) {}
