/** Runs the keeper daemon. */
package org.bramleylatch.keeper;
