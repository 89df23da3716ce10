package org.bramleylatch.proof;

import java.util.List;
import org.bramleylatch.core.LogEntry;

/** Lets the log of a fleet come back from copies, which lack its newest records. */
final class LogReturns {
    private static final int LOST_DURING_CUT = 30;

    private final FleetHarness fleet;
    private final int firstCopyRecords;
    private int remainingReturns;

    /**
     * Lets every keeper write, and makes the oldest copy that the log can come back from.
     *
     * @param maxReturns how often the log can come back; it then stays as it is
     */
    LogReturns(FleetHarness fleet, int maxReturns) {
        this.fleet = fleet;
        this.remainingReturns = maxReturns;
        sendToAllRouters();
        fleet.advance(1_000);
        sendToAllRouters();
        fleet.advance(3_000);
        this.firstCopyRecords = fleet.log.allEntries().size();
    }

    /** Lets the log come back from a copy; what the operator wrote is written again. */
    void returnFromCopy(int maxLostRecords) {
        if (remainingReturns == 0) {
            return;
        }
        remainingReturns--;
        List<LogEntry> before = fleet.log.allEntries();
        fleet.log.loseNewest(Math.min(maxLostRecords, before.size() - firstCopyRecords));
        before.subList(fleet.log.allEntries().size(), before.size()).stream()
                .filter(entry -> entry.writer().equals(FleetHarness.OPERATOR))
                .forEach(entry -> fleet.appendAsOperator(entry.record()));
    }

    /** Lets the log come back from a copy while a zone that holds grants can't read it. */
    void returnFromCopyDuringCut(int zoneIndex) {
        fleet.setZoneDisconnected(zoneIndex, true);
        sendToAllRouters();
        fleet.advance(200);
        returnFromCopy(LOST_DURING_CUT);
        fleet.advance(2_000);
        sendToAllRouters();
        fleet.advance(1_000);
        fleet.setZoneDisconnected(zoneIndex, false);
    }

    private void sendToAllRouters() {
        for (int router = 0; router < FleetHarness.ROUTERS; router++) {
            for (int budget = 0; budget < FleetHarness.BUDGETS; budget++) {
                fleet.sendRequests(router, budget, 2);
            }
        }
    }
}
