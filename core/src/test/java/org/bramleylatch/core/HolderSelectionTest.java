package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class HolderSelectionTest {
    private static final Zone LANGNAU = Zone.of("langnau");
    private static final Zone HUTTWIL = Zone.of("huttwil");

    @Test
    void theVmsWithTheMostProcessorTimeOfEachZoneAreSelected() {
        HolderSelection holders =
                HolderSelection.among(
                        List.of(
                                new VmRow("vm-1", LANGNAU, 360),
                                new VmRow("vm-2", LANGNAU, 1_500),
                                new VmRow("vm-3", LANGNAU, 750),
                                new VmRow("vm-4", HUTTWIL, 100)));
        assertThat(holders.holdersOf(LANGNAU)).containsExactly("vm-2", "vm-3");
        assertThat(holders.holdersOf(HUTTWIL)).containsExactly("vm-4");
        assertThat(holders.contains("vm-1")).isFalse();
    }

    @Test
    void allProcessesSelectTheSameVmsWhateverTheOrderInWhichTheyLearnOfThem() {
        List<VmRow> vms = equalVms(19);
        List<VmRow> shuffled = new ArrayList<>(vms);
        Collections.shuffle(shuffled, new Random(7));
        assertThat(HolderSelection.among(shuffled).holdersOf(LANGNAU))
                .isEqualTo(HolderSelection.among(vms).holdersOf(LANGNAU));
    }

    @Test
    void aZoneWithManyVmsHasFewHoldersAndAZoneWithOneVmHasOne() {
        assertThat(HolderSelection.among(equalVms(1)).holdersOf(LANGNAU)).hasSize(1);
        assertThat(HolderSelection.among(equalVms(3)).holdersOf(LANGNAU)).hasSize(2);
        assertThat(HolderSelection.among(equalVms(19)).holdersOf(LANGNAU)).hasSize(3);
        assertThat(HolderSelection.among(equalVms(60)).holdersOf(LANGNAU)).hasSize(5);
    }

    @Test
    void withoutVmsThereAreNoHolders() {
        assertThat(HolderSelection.among(List.of()).isEmpty()).isTrue();
        assertThat(HolderSelection.none().holdersOf(LANGNAU)).isEmpty();
    }

    private static List<VmRow> equalVms(int count) {
        List<VmRow> vms = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            vms.add(new VmRow("vm-" + index, LANGNAU, 750));
        }
        return vms;
    }
}
