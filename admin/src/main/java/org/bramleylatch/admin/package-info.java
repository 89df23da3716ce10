/** Serves the administration API. */
package org.bramleylatch.admin;
