/** Runs a router and its keeper in one process on the users' platform. */
package org.bramleylatch.gateway;
