/**
 * Decides: tables of immutable rows and the systems that run over them each tick. Nothing in here
 * does I/O, starts a thread, reads a clock or knows how a message is encoded.
 */
package org.bramleylatch.core;
