package org.bramleylatch.edge;

import java.util.List;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.EndpointRow;
import org.bramleylatch.core.LeavingSignals;
import org.bramleylatch.core.Version;
import org.bramleylatch.core.Zone;

/** Holds the platform's list of endpoint VMs, including those that are leaving. */
public record VmList(List<Vm> vms) {

    /** Copies the list. */
    public VmList {
        vms = List.copyOf(vms);
    }

    /**
     * Describes one endpoint VM.
     *
     * @param memoryTokens how many tokens its engine can hold in memory; 0 for a plain service
     */
    public record Vm(
            EndpointId id,
            String backEnd,
            Zone zone,
            String ip,
            int port,
            Version version,
            long memoryTokens,
            boolean leaving) {

        /** Converts the entry to the initial row of the endpoint table of a router. */
        public EndpointRow toEndpointRow() {
            return EndpointRow.of(id, backEnd, zone, version, memoryTokens)
                    .withLeavingSignals(LeavingSignals.none().withListedAsLeaving(leaving));
        }
    }
}
