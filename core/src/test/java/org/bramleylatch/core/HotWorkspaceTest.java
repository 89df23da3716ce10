package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Answers the pattern "all callers of one workspace come to one VM": the platform chooses the VM of
 * a new connection by a hash of the caller, and another one only while that VM is not ready. Models
 * the platform, VMs with a capacity, and callers on kept connections, in steps of 100 ms.
 */
class HotWorkspaceTest {
    private static final int STEP_MILLIS = 100;
    private static final int STEPS_PER_SECOND = 10;
    private static final int SECONDS = 30;
    private static final int VMS = 24;
    private static final int CAPACITY_PER_STEP = 3;
    private static final double OTHER_REQUESTS_PER_STEP = 0.5;
    private static final int HOT_CONNECTIONS = 60;
    private static final int HOT_CONNECTION_STEPS = 4;
    private static final int PERMILLE = 1_000;
    private static final int MISSES_UNTIL_OUT = 2;

    /** Guards against SHORT: 0.09 of a workspace's requests were served, 0.71 of all. */
    @Test
    void aWorkspaceThatSendsMoreThanOneVmCarriesIsServedByAsManyVmsAsItNeeds() {
        assertThat(new Fleet(VMS).playAndReturnServedShare()).isGreaterThan(0.5);
    }

    @Test
    void inAZoneOfFewVmsNoneLeavesTheRotation() {
        Fleet fleet = new Fleet(3);
        fleet.playAndReturnServedShare();
        assertThat(fleet.vms).allMatch(vm -> vm.rotation.isIn());
    }

    /** Holds a VM, and what the platform knows of its readiness. */
    private static final class Vm {
        private Rotation rotation = Rotation.initial();
        private int misses;
        private double requests;
        private double load;
        private int refused;

        boolean isUsed() {
            return misses < MISSES_UNTIL_OUT;
        }

        void step(int vmsOfZone, long nowMillis) {
            double weight = 1.0 / STEPS_PER_SECOND;
            load += weight * (requests / CAPACITY_PER_STEP - load);
            requests = OTHER_REQUESTS_PER_STEP;
            VmLoad measured = new VmLoad((int) (PERMILLE * load), 0, 0);
            rotation =
                    rotation.next(
                            measured,
                            load * CAPACITY_PER_STEP * STEPS_PER_SECOND,
                            refused > 0,
                            vmsOfZone,
                            nowMillis);
            refused = 0;
        }
    }

    /** Holds a zone whose first VMs in order are the ones that the hash of the caller chooses. */
    private static final class Fleet {
        private final List<Vm> vms;
        private final Vm[] connections = new Vm[HOT_CONNECTIONS];
        private int asked;
        private int served;

        Fleet(int size) {
            vms = Stream.generate(Vm::new).limit(size).toList();
        }

        double playAndReturnServedShare() {
            IntStream.range(0, SECONDS * STEPS_PER_SECOND).forEach(this::step);
            return (double) served / asked;
        }

        private void step(int step) {
            vms.forEach(vm -> vm.step(vms.size(), (long) step * STEP_MILLIS));
            if (step % STEPS_PER_SECOND == 0) {
                vms.forEach(vm -> vm.misses = vm.rotation.isIn() ? 0 : vm.misses + 1);
            }
            IntStream.range(0, HOT_CONNECTIONS)
                    .filter(connection -> (connection + step) % HOT_CONNECTION_STEPS == 0)
                    .forEach(this::send);
        }

        /** A VM beyond its capacity refuses the request and closes its connection. */
        private void send(int connection) {
            Vm vm = connections[connection] == null ? choose() : connections[connection];
            vm.requests++;
            asked++;
            boolean fits = vm.requests <= CAPACITY_PER_STEP;
            served += fits ? 1 : 0;
            vm.refused += fits ? 0 : 1;
            connections[connection] = fits ? vm : null;
        }

        private Vm choose() {
            List<Vm> used = vms.stream().filter(Vm::isUsed).toList();
            return 2 * used.size() < vms.size() ? vms.get(0) : used.get(0);
        }
    }
}
