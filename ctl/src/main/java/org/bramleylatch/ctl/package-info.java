/** Runs bramleylatchctl, the operators' command line. */
package org.bramleylatch.ctl;
