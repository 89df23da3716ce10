/**
 * Encodes and decodes the messages and log records of core and the settings, and applies the stream
 * of configuration records.
 */
package org.bramleylatch.wire;
