/**
 * Runs the router daemon: serves callers over HTTP, sends attempts to endpoints and connects both
 * with the router's world in core, which takes the decisions.
 */
package org.bramleylatch.router;
