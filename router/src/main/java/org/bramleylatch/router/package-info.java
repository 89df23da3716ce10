/** Runs the router daemon. */
package org.bramleylatch.router;
