/**
 * Contains all decisions of the router fleet: tables of immutable rows, and systems that run over
 * them each tick. Nothing in this package does I/O, starts a thread, reads a clock or knows how a
 * message is encoded.
 */
package org.bramleylatch.core;
