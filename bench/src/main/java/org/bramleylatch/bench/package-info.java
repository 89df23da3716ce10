/** Contains the demo, the load generator, the measurements and the simulations in virtual time. */
package org.bramleylatch.bench;
