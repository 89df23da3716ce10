package org.bramleylatch.gateway;

/**
 * Identifies a request by its place among those that endpoints were sent.
 *
 * @param connection the number of the connection, from 1 in the order of their first requests
 * @param uses the number of requests that were sent on the connection, this one included
 */
record ConnectionUse(long connection, int uses) {}
