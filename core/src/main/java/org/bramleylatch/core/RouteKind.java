package org.bramleylatch.core;

/** Tells what kind of back end serves a route. */
public enum RouteKind {
    /** Model engines, which answer a chat with a stream of tokens. */
    CHAT,
    /** Services without a model, which answer a call with one whole response. */
    SERVICE
}
