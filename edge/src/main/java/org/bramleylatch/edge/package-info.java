/** Connects core to its runtime: tick loop, platform client, connections, metrics, timeline. */
package org.bramleylatch.edge;
