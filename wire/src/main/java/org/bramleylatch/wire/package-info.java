/**
 * Encodes and decodes the messages and log records of core, reads the settings, and applies the
 * records of the configuration stream.
 */
package org.bramleylatch.wire;
