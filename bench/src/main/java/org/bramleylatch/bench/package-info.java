/** Runs the demo, the load and the measurements. */
package org.bramleylatch.bench;
