package org.bramleylatch.edge;

import java.util.List;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.EndpointRow;
import org.bramleylatch.core.LeavingSignals;
import org.bramleylatch.core.Version;
import org.bramleylatch.core.Zone;

/** Is the platform's list of live and leaving endpoint VMs. */
public record VmList(List<Vm> vms) {

    /** Copies the list. */
    public VmList {
        vms = List.copyOf(vms);
    }

    /**
     * Is one VM.
     *
     * @param memoryTokens how many tokens its engine can hold; 0 for a plain service
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

        /** Returns the endpoint as routers start with it. */
        public EndpointRow toEndpoint() {
            return EndpointRow.of(id, backEnd, zone, version, memoryTokens)
                    .leaving(LeavingSignals.none().withListedAsLeaving(leaving));
        }
    }
}
