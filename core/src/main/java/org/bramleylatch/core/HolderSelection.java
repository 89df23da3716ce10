package org.bramleylatch.core;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Selects the VMs of each availability zone whose keepers hold grants, so that a budget is divided
 * into as many parts as there are zones, not VMs. All processes that know the same VMs select the
 * same ones. The VMs with the most processor time are selected, as they answer soonest.
 */
public final class HolderSelection {
    /** One that holds a budget, and one that takes over. */
    private static final int MIN_HOLDERS = 2;

    private static final int VMS_PER_FURTHER_HOLDER = 16;

    private static final Comparator<VmRow> STRONGEST_FIRST =
            Comparator.comparingInt(VmRow::processorPermille).reversed().thenComparing(VmRow::vm);

    private final Map<Zone, List<String>> holdersByZone;

    private HolderSelection(Map<Zone, List<String>> holdersByZone) {
        this.holdersByZone = holdersByZone;
    }

    /** Returns the selection from no VMs, which has no holders. */
    public static HolderSelection none() {
        return new HolderSelection(Map.of());
    }

    /** Selects the holders among the VMs. */
    public static HolderSelection among(Collection<VmRow> vms) {
        Map<Zone, List<VmRow>> byZone =
                vms.stream()
                        .collect(
                                Collectors.groupingBy(
                                        VmRow::zone, TreeMap::new, Collectors.toList()));
        Map<Zone, List<String>> holders = new TreeMap<>();
        byZone.forEach((zone, ofZone) -> holders.put(zone, strongest(ofZone)));
        return new HolderSelection(holders);
    }

    /** Returns true if no VM is selected. */
    public boolean isEmpty() {
        return holdersByZone.isEmpty();
    }

    /** Returns the zones that have VMs, in order. */
    public List<Zone> zones() {
        return List.copyOf(holdersByZone.keySet());
    }

    /** Returns the VMs selected in a zone, the strongest first. */
    public List<String> holdersOf(Zone zone) {
        return holdersByZone.getOrDefault(zone, List.of());
    }

    /** Returns true if the VM is selected. */
    public boolean contains(String vm) {
        return holdersByZone.values().stream().anyMatch(holders -> holders.contains(vm));
    }

    private static List<String> strongest(List<VmRow> ofZone) {
        long count = MIN_HOLDERS + ofZone.size() / VMS_PER_FURTHER_HOLDER;
        return ofZone.stream().sorted(STRONGEST_FIRST).limit(count).map(VmRow::vm).toList();
    }
}
