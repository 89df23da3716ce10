package org.bramleylatch.core;

/**
 * Tracks the limit that one endpoint names.
 *
 * @param requestsPerSecond what the endpoint takes from all routers together
 */
record RateLimitRow(EndpointId endpoint, double requestsPerSecond) {}
