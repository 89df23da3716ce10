package org.bramleylatch.core;

/** Tells what stands behind a route. */
public enum RouteKind {
    /** Model engines that answer a chat with a stream of tokens. */
    CHAT,
    /** Plain services that answer a call as a whole. */
    SERVICE
}
