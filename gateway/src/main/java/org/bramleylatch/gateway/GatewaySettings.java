package org.bramleylatch.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.wire.Json;

/**
 * Holds the gateway's own settings; values that the platform sets are in its boot file.
 *
 * @param grantHorizonMillis how long a full grant lasts at the forecast demand
 * @param smallestGrantTokens tokens of a budget to hold beyond the forecast, and the smallest
 *     amount worth asking for
 * @param logLinesPerSecond maximum number of lines per second in the event log
 * @param storeWaitMillis how long a read of the store waits for new records
 * @param ledgerPauseMillis pause between reads of the ledger, so that records arrive in batches
 * @param inactiveLedgerPauseMillis the same while this VM's keeper holds no grants
 * @param holderSettleMillis how long after a new VM the holders are selected anew, so that VMs that
 *     start together are considered together
 */
public record GatewaySettings(
        long grantHorizonMillis,
        long smallestGrantTokens,
        int logLinesPerSecond,
        long storeWaitMillis,
        long ledgerPauseMillis,
        long inactiveLedgerPauseMillis,
        long holderSettleMillis) {
    private static final Set<String> FIELDS =
            Set.of(
                    "grantHorizonMillis",
                    "smallestGrantTokens",
                    "logLinesPerSecond",
                    "storeWaitMillis",
                    "ledgerPauseMillis",
                    "inactiveLedgerPauseMillis",
                    "holderSettleMillis");

    /**
     * Parses the settings, all of which are required.
     *
     * @param source the file name for error messages
     * @throws ResultException with SETTINGS_INVALID and the field that is missing, unknown or
     *     invalid
     */
    public static GatewaySettings parse(String source, String json) {
        JsonNode root = Json.readTree(json);
        Set<String> unknown = new TreeSet<>();
        root.fieldNames().forEachRemaining(unknown::add);
        unknown.removeAll(FIELDS);
        if (!unknown.isEmpty()) {
            throw invalid(source, unknown + ": unknown fields");
        }
        return new GatewaySettings(
                readPositive(source, root, "grantHorizonMillis"),
                readPositive(source, root, "smallestGrantTokens"),
                (int) readPositive(source, root, "logLinesPerSecond"),
                readPositive(source, root, "storeWaitMillis"),
                readPositive(source, root, "ledgerPauseMillis"),
                readPositive(source, root, "inactiveLedgerPauseMillis"),
                readPositive(source, root, "holderSettleMillis"));
    }

    /**
     * Reads the settings from a file.
     *
     * @throws ResultException with SETTINGS_INVALID if the file can't be read or a field is invalid
     */
    public static GatewaySettings read(String file) {
        try {
            return parse(file, Files.readString(Path.of(file)));
        } catch (IOException unreadable) {
            throw invalid(file, "cannot be read");
        }
    }

    private static long readPositive(String source, JsonNode root, String field) {
        JsonNode value = root.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToInt() || value.asInt() <= 0) {
            throw invalid(source, field + ": must be an integer from 1 to 2147483647");
        }
        return value.asLong();
    }

    private static ResultException invalid(String source, String fault) {
        return ResultException.of(ResultCode.SETTINGS_INVALID, source + ": " + fault);
    }
}
