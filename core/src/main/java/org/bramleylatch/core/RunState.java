package org.bramleylatch.core;

/** Lists what can be known about whether an endpoint ran a request. */
public enum RunState {
    /** No byte of the request was sent to an endpoint, or the endpoint refused to run it. */
    NOT_RUN,
    /** An endpoint ran the request, at least in part. */
    RAN,
    /** The request may or may not have run. */
    UNKNOWN
}
