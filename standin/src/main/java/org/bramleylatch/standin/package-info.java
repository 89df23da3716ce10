/** Simulates the platform, model engines and services for tests and the demo. */
package org.bramleylatch.standin;
