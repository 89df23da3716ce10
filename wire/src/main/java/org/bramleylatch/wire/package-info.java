/** Encodes and decodes the messages of core, the settings and the configuration document. */
package org.bramleylatch.wire;
