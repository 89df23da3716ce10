/** Stands in for the platform, engines and services, for tests and the demo. */
package org.bramleylatch.standin;
