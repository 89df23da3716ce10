package org.bramleylatch.core;

import java.util.Optional;

/**
 * Is usage that this keeper holds until it has read it back from the log.
 *
 * @param router who is told once the usage is durable; empty if that router was lost
 */
public record PendingUsageRow(GrantKey grant, Usage usage, Optional<Incarnation> router) {}
