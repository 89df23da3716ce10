package org.bramleylatch.core;

/** Lists the kinds of back end that can serve a route. */
public enum RouteKind {
    /** Model engines, which answer a chat with a stream of tokens. */
    CHAT,
    /** Services without a model, which answer a call with one whole response. */
    SERVICE
}
