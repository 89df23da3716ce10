package org.bramleylatch.wire;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.Zone;

/**
 * Holds the settings of one process, as read from its settings file.
 *
 * @param zone the availability zone
 * @param vm the name of the entry VM
 * @param listen the address at which this process listens
 * @param platform the address of the platform's service
 * @param keepers the addresses of the keepers in the zone; for routers
 * @param timelineFile the file to which events are written; empty to write none
 * @param mostBodyBytes the maximum size of a request body; 4 MiB if absent
 * @param adminKeys the keys of the owners of configuration sections; for the administration API
 * @param snapshotEveryRecords the number of records between two snapshots; for keepers, 20,000 if
 *     absent
 * @param retryGraceMillis how long the caller of a lost router may take to retry, in milliseconds;
 *     for keepers, 30 seconds if absent
 * @param horizonHours how long a keeper's grants should last while it cannot reach the log; for
 *     keepers, 2 hours if absent
 * @param smallestGrantTokens the smallest grant that a keeper asks for; for keepers, 4,000 tokens
 *     if absent
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
    private static final int DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final int DEFAULT_SNAPSHOT_EVERY_RECORDS = 20_000;
    private static final long DEFAULT_RETRY_GRACE_MILLIS = 30_000;
    private static final double DEFAULT_HORIZON_HOURS = 2;
    private static final long DEFAULT_SMALLEST_GRANT_TOKENS = 4_000;

    /** Replaces absent settings, which Jackson sets to null or 0, by their defaults. */
    public Settings {
        keepers = keepers == null ? List.of() : List.copyOf(keepers);
        timelineFile = timelineFile == null ? Optional.empty() : timelineFile;
        mostBodyBytes = mostBodyBytes == 0 ? DEFAULT_MAX_BODY_BYTES : mostBodyBytes;
        adminKeys = adminKeys == null ? List.of() : List.copyOf(adminKeys);
        snapshotEveryRecords =
                snapshotEveryRecords == 0 ? DEFAULT_SNAPSHOT_EVERY_RECORDS : snapshotEveryRecords;
        retryGraceMillis = retryGraceMillis == 0 ? DEFAULT_RETRY_GRACE_MILLIS : retryGraceMillis;
        horizonHours = horizonHours == 0 ? DEFAULT_HORIZON_HOURS : horizonHours;
        smallestGrantTokens =
                smallestGrantTokens == 0 ? DEFAULT_SMALLEST_GRANT_TOKENS : smallestGrantTokens;
    }

    /**
     * Parses the text of a settings file.
     *
     * @param source the name of the file, for the message
     * @throws org.bramleylatch.core.ResultException with SETTINGS_INVALID and the place of each
     *     fault, or with MALFORMED_JSON if the text is not JSON
     */
    public static Settings parse(String source, String json) {
        return SCHEMA.read(source, json, Settings.class, ResultCode.SETTINGS_INVALID);
    }

    /**
     * Holds an owner of configuration sections.
     *
     * @param keySha256 the SHA-256 of the owner's key, in lower-case hexadecimal
     */
    public record AdminKey(String owner, String keySha256) {}
}
