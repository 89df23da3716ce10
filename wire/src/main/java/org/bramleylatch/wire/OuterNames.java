package org.bramleylatch.wire;

import java.util.Map;
import java.util.Optional;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.LedgerRecord;

/**
 * Lists the names that records and their components have in encoded messages, where these differ
 * from the names in the code. Logs and other processes hold the old names, so an entry may be added
 * when a record is renamed, but never changed or removed.
 */
final class OuterNames {
    private static final Map<Class<?>, String> TYPE_IDS =
            Map.ofEntries(
                    Map.entry(LedgerRecord.HolderHeartbeat.class, "HolderSeen"),
                    Map.entry(LedgerRecord.HolderTakenOver.class, "HolderSucceeded"),
                    Map.entry(LedgerRecord.FrozenGrantReleased.class, "FrozenReleased"),
                    Map.entry(KeeperInput.UsageSubmitted.class, "UsageGiven"),
                    Map.entry(KeeperInput.MoveReported.class, "MoveSeen"),
                    Map.entry(KeeperInput.RouterConnected.class, "RouterSeen"),
                    Map.entry(KeeperInput.RouterDisconnected.class, "RouterLost"),
                    Map.entry(KeeperInput.AttemptUsageReported.class, "EndpointReported"),
                    Map.entry(KeeperInput.ProcessStarted.class, "ProcessBegan"),
                    Map.entry(KeeperInput.FundsConfigured.class, "FundsSeen"),
                    Map.entry(KeeperOutput.QueryAttemptUsage.class, "AskEndpoint"));

    private static final Map<Class<?>, Map<String, String>> FIELD_NAMES =
            Map.ofEntries(
                    Map.entry(
                            LedgerRecord.HolderHeartbeat.class,
                            Map.of("heartbeatMillis", "stampMillis")),
                    Map.entry(
                            LedgerRecord.MoveObserved.class,
                            Map.of("oldAttempts", "old", "newAttempts", "fresh")),
                    Map.entry(KeeperInput.MoveReported.class, Map.of("report", "seen")),
                    Map.entry(KeeperInput.FromLog.class, Map.of("update", "feed")));

    private OuterNames() {}

    /**
     * Returns the type id of a record in messages: its simple name unless the table has another.
     */
    static String typeId(Class<?> type) {
        return TYPE_IDS.getOrDefault(type, type.getSimpleName());
    }

    /** Returns the name of a component in messages; empty if it is that of the component. */
    static Optional<String> fieldName(Class<?> type, String component) {
        return Optional.ofNullable(FIELD_NAMES.getOrDefault(type, Map.of()).get(component));
    }

    /** Returns the type ids that differ from the simple names of their records. */
    static Map<Class<?>, String> typeIds() {
        return TYPE_IDS;
    }

    /** Returns the fields that differ from their components, by record and component. */
    static Map<Class<?>, Map<String, String>> fieldNames() {
        return FIELD_NAMES;
    }
}
