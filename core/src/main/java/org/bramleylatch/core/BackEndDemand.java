package org.bramleylatch.core;

/**
 * Holds how many requests a router gets for a back end.
 *
 * @param requestsPerSecond the arrivals over the last seconds, whether they were served or not
 */
public record BackEndDemand(String backEnd, double requestsPerSecond) {}
