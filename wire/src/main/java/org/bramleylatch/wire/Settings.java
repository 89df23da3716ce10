package org.bramleylatch.wire;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.Zone;

/**
 * Holds the settings of one process.
 *
 * @param zone the availability zone
 * @param vm the name of the entry VM
 * @param listen where this process listens
 * @param platform where the platform's service listens
 * @param keepers where the keepers of the zone listen; for routers
 * @param timelineFile where events are written; none if absent
 * @param mostBodyBytes the largest body of a request
 * @param adminKeys who may change what; for the administration API
 * @param snapshotEveryRecords how many records lie between two snapshots; for keepers
 * @param retryGraceMillis how long the caller of a lost router may take to retry; for keepers
 * @param horizonHours for how long a keeper should be able to serve while cut off
 * @param smallestGrantTokens the smallest amount worth asking for
 */
public record Settings(
        Zone zone,
        String vm,
        Address listen,
        Address platform,
        List<Address> keepers,
        Optional<String> timelineFile,
        int mostBodyBytes,
        List<AdminKey> adminKeys,
        int snapshotEveryRecords,
        long retryGraceMillis,
        double horizonHours,
        long smallestGrantTokens) {
    private static final Schema SCHEMA = Schema.of("settings.schema.json");
    private static final int MOST_BODY_BYTES = 4 * 1024 * 1024;
    private static final int SNAPSHOT_EVERY_RECORDS = 20_000;
    private static final long RETRY_GRACE_MILLIS = 30_000;
    private static final double HORIZON_HOURS = 2;
    private static final long SMALLEST_GRANT_TOKENS = 4_000;

    /** Fills in the defaults. */
    public Settings {
        keepers = keepers == null ? List.of() : List.copyOf(keepers);
        timelineFile = timelineFile == null ? Optional.empty() : timelineFile;
        mostBodyBytes = mostBodyBytes == 0 ? MOST_BODY_BYTES : mostBodyBytes;
        adminKeys = adminKeys == null ? List.of() : List.copyOf(adminKeys);
        snapshotEveryRecords =
                snapshotEveryRecords == 0 ? SNAPSHOT_EVERY_RECORDS : snapshotEveryRecords;
        retryGraceMillis = retryGraceMillis == 0 ? RETRY_GRACE_MILLIS : retryGraceMillis;
        horizonHours = horizonHours == 0 ? HORIZON_HOURS : horizonHours;
        smallestGrantTokens =
                smallestGrantTokens == 0 ? SMALLEST_GRANT_TOKENS : smallestGrantTokens;
    }

    /**
     * Returns the settings in the text.
     *
     * @param source the file, for the message
     * @throws org.bramleylatch.core.ResultException with SETTINGS_INVALID and the place
     */
    public static Settings parse(String source, String json) {
        return SCHEMA.read(source, json, Settings.class, ResultCode.SETTINGS_INVALID);
    }

    /** Names the owner of sections and the SHA-256 of the key that the owner uses. */
    public record AdminKey(String owner, String keySha256) {}
}
