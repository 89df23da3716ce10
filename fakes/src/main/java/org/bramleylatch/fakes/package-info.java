/** Drives real worlds in virtual time through small fakes of what lies outside them. */
package org.bramleylatch.fakes;
