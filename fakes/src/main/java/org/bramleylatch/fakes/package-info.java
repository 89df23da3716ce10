/**
 * Runs the real decision code of keepers in virtual time, with in-memory fakes of the log and the
 * network around it.
 */
package org.bramleylatch.fakes;
