package org.bramleylatch.core;

/**
 * Tracks a silence of an attempt that was noticed.
 *
 * @param sinceMillis when the attempt last made progress
 * @param nextProbeMillis when its endpoint is probed again if it is still silent
 */
record SilenceRow(long sinceMillis, long nextProbeMillis) {}
