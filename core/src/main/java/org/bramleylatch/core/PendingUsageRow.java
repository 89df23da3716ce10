package org.bramleylatch.core;

import java.util.Optional;

/**
 * Holds usage until this keeper has read it back from the log.
 *
 * @param router the router to notify once the usage is durable; empty if that router was lost
 */
public record PendingUsageRow(GrantKey grant, Usage usage, Optional<Incarnation> router) {}
