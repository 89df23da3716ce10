package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/**
 * Describes an entry VM that announced itself to the others.
 *
 * @param vm the name of the VM, which outlasts restarts
 * @param zone the availability zone of the VM
 * @param processorPermille the processor time that the VM has, in thousandths of a core
 */
public record VmRow(String vm, Zone zone, int processorPermille) {

    /** Throws {@link NullPointerException} if the name or the zone is null. */
    public VmRow {
        requireNonNull(vm, "VM name");
        requireNonNull(zone, "zone");
    }
}
