/** Connects core to the runtime: the tick loop, the platform, links, metrics and the time line. */
package org.bramleylatch.edge;
