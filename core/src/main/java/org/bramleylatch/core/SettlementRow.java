package org.bramleylatch.core;

import java.util.Optional;

/**
 * Is usage that this router keeps until a keeper has read it back from the log.
 *
 * @param keeper who holds it too, if anyone
 * @param finishing true while the caller still waits for the end of the answer
 */
public record SettlementRow(
        GrantKey grant, Usage usage, Optional<Incarnation> keeper, Optional<RequestId> finishing) {

    /** Returns the settlement after it was given to a keeper. */
    public SettlementRow givenTo(Incarnation newKeeper) {
        return new SettlementRow(grant, usage, Optional.of(newKeeper), finishing);
    }

    /** Returns the settlement after its keeper was lost. */
    public SettlementRow lost() {
        return new SettlementRow(grant, usage, Optional.empty(), finishing);
    }

    /** Returns the settlement after the caller got the end of the answer. */
    public SettlementRow finished() {
        return new SettlementRow(grant, usage, keeper, Optional.empty());
    }
}
