/** Contains the keeper process: its entry point, its connections and its metrics. */
package org.bramleylatch.keeper;
