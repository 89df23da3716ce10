package org.bramleylatch.core;

/**
 * Lists every result that is reported to callers or operators, with its number and HTTP status. The
 * numbers never change; docs/RESULT-CODES.md describes the remedy for each.
 */
public enum ResultCode {
    MALFORMED_JSON(1001, 400),
    BODY_TOO_LARGE(1002, 413),
    FIELD_INVALID(1003, 400),
    IDEMPOTENCY_KEY_MISSING(1004, 400),
    IDEMPOTENCY_KEY_MALFORMED(1005, 400),
    IDEMPOTENCY_KEY_EXPIRED(1006, 409),
    UNAUTHENTICATED(1007, 401),
    UNKNOWN_ROUTE(1101, 404),
    UNKNOWN_MODEL(1102, 404),
    UNKNOWN_BUDGET(1103, 404),
    BUDGET_EXISTS(1104, 409),
    NOT_CONFIGURED(1105, 503),
    CONFIGURATION_STALE(1106, 503),
    BUDGET_EXHAUSTED(1201, 402),
    BUDGET_UNAVAILABLE(1202, 503),
    USAGE_OVER_GRANT(1203, 409),
    USAGE_ALREADY_SETTLED(1204, 409),
    GRANT_UNKNOWN(1205, 404),
    GRANT_NOT_FROZEN(1206, 409),
    TOP_UP_REPEATED(1207, 409),
    OVERLOADED(1301, 503),
    NO_ENDPOINT(1302, 503),
    ENDPOINT_FAILED(1303, 502),
    DEADLINE_EXCEEDED(1305, 504),
    ANSWER_INCOMPLETE(1306, 502),
    SHUTTING_DOWN(1307, 503),
    PROMPT_QUARANTINED(1308, 503),
    VM_OVERLOADED(1309, 503),
    REQUEST_IN_PROGRESS(1401, 409),
    OUTCOME_UNKNOWN(1402, 409),
    LOG_UNAVAILABLE(1501, 503),
    LOG_POSITION_EXPIRED(1502, 410),
    RECORD_REPEATED(1503, 409),
    RECORD_MALFORMED(1504, 400),
    HOLDER_REPLACED(1505, 409),
    ERA_UNSETTLED(1506, 503),
    REVISION_CONFLICT(1601, 409),
    CONFIGURATION_INVALID(1602, 400),
    SECTION_OWNER_MISMATCH(1603, 403),
    MOVE_RUNNING(1604, 409),
    MOVE_NOT_RUNNING(1605, 409),
    MOVE_EXPIRED(1606, 409),
    SETTINGS_INVALID(1701, 500),
    PORT_IN_USE(1702, 500),
    PLATFORM_UNREACHABLE(1703, 503),
    BOOKS_DO_NOT_BALANCE(1801, 500),
    INTERNAL(1999, 500);

    private final int number;
    private final int httpStatus;

    ResultCode(int number, int httpStatus) {
        this.number = number;
        this.httpStatus = httpStatus;
    }

    /** Returns the stable number, from 1001 to 1999. */
    public int number() {
        return number;
    }

    /** Returns the HTTP status that this code is sent with, from 400 to 504. */
    public int httpStatus() {
        return httpStatus;
    }
}
