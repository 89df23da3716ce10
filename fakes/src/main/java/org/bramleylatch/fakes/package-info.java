/**
 * Runs the real decision code of keepers in virtual time, with an in-memory fake of the log, and
 * tracks the tokens of each budget independently as a test oracle.
 */
package org.bramleylatch.fakes;
