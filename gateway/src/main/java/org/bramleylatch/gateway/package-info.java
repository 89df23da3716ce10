/** Runs a router and its keeper in one process, on the platform that {@code platform} adapts. */
package org.bramleylatch.gateway;
