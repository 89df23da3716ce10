package org.bramleylatch.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a starved workspace that the share of all requests hides. */
class ServedSharesTest {
    private static final int VMS = 40;

    private final List<String> lines = new ArrayList<>();
    private int sequence;

    @Test
    void theWorkspaceWhoseRequestsAllComeToOneBusyVmIsTheLeastServed() {
        for (int vm = 0; vm < VMS; vm++) {
            lines.add(line("front-" + vm, "PROCESS_STARTED", "zone=a"));
            sequence = 0;
            addRequests("front-" + vm, "calm", 20, 19);
        }
        addRequests("front-39", "starved", 100, 12);

        ServedShares shares = ServedShares.read(lines.stream());

        assertThat(shares.all().share()).isGreaterThan(0.8);
        assertThat(shares.workspaces())
                .containsExactly(
                        new ServedShareRow("starved", 100, 12, 1),
                        new ServedShareRow("calm", 800, 760, VMS));
        assertThat(shares.vms().get(0)).isEqualTo(new ServedShareRow("front-39", 120, 31, 1));
        assertThat(shares.refusals()).containsEntry("VM_OVERLOADED", 128);
    }

    @Test
    void requestsWhoseLinesWereDroppedCountByTheNumbersOfLaterOnes() {
        addRequests("front-1", "calm", 20, 20);
        lines.add(line("front-1", "LINES_DROPPED", "count=30"));
        sequence = 49;
        addRequests("front-1", "calm", 1, 1);
        lines.add(line("front-1", "PROCESS_STARTED", "zone=a"));
        sequence = 0;
        addRequests("front-1", "calm", 10, 10);

        ServedShares shares = ServedShares.read(lines.stream());

        assertThat(shares.all()).isEqualTo(new ServedShareRow("all", 60, 31, 1));
        assertThat(shares.unloggedArrivals()).isEqualTo(29);
    }

    @Test
    void linesThatAreNoEventsAreSkipped() {
        addRequests("front-1", "calm", 20, 20);
        lines.add("built in 0.0 s");
        lines.add("  1.0 front-1 {\"t\":1,\"vm\":\"front-1\",\"event\":\"REQUEST_ARR");
        lines.add("  1.0 front-1 ERROR Gateway {0}");
        assertThat(ServedShares.read(lines.stream()).all().arrivals()).isEqualTo(20);
    }

    private void addRequests(String vm, String workspace, int arrivals, int finished) {
        for (int request = 0; request < arrivals; request++) {
            sequence++;
            String id = "request=" + lines.size() + "~" + sequence;
            lines.add(line(vm, "REQUEST_ARRIVED", id + " route=r budget=" + workspace));
            if (request < finished) {
                lines.add(line(vm, "ANSWER_ENDED", id + " ageMillis=9 status=200 complete"));
            } else {
                lines.add(line(vm, "REQUEST_REFUSED", "VM_OVERLOADED reason=R " + id));
                lines.add(line(vm, "ANSWER_ENDED", id + " ageMillis=9 status=503 complete"));
            }
        }
    }

    private static String line(String vm, String event, String detail) {
        return ("   1.4332 %s {\"t\":1,\"vm\":\"%s\",\"event\":\"%s\",\"subject\":\"s\","
                        + "\"detail\":\"%s\"}")
                .formatted(vm, vm, event, detail);
    }
}
