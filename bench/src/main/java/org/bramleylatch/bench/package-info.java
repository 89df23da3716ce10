/** Contains the demo, the load generator, the measurements and the simulations behind them. */
package org.bramleylatch.bench;
