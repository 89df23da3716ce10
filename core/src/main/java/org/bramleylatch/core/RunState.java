package org.bramleylatch.core;

/** Tells what is known about whether a request ran at an endpoint. */
public enum RunState {
    /** No byte of the request left for an endpoint, or the endpoint refused it before running. */
    NOT_RUN,
    /** The request ran. */
    RAN,
    /** The request may or may not have run. */
    UNKNOWN
}
