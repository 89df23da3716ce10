/** Runs bramleylatchctl, the command line for operators. */
package org.bramleylatch.ctl;
