package org.bramleylatch.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.BackEndDemand;
import org.bramleylatch.core.CrashEvidence;
import org.bramleylatch.core.CrashReport;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.EndpointLimit;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.LimitReport;
import org.bramleylatch.core.PartClears;
import org.bramleylatch.core.PromptPartId;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.core.RouterReport;
import org.bramleylatch.core.SuspectPart;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Decodes reports and log records that another writer may leave among those of this system. */
class IncompleteRecordTest {

    /** Guards against a null that is noticed only where a world applies the record. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"v\":1,\"w\":\"k\",\"s\":1,\"r\":{\"type\":\"GrantAsked\"}}",
                "{\"v\":1,\"w\":\"k\",\"s\":1,\"r\":{\"type\":\"GrantAsked\",\"budget\":null}}",
                "{\"v\":1,\"w\":\"k\",\"s\":1,\"r\":{\"type\":\"HolderFrozen\"}}",
                "{\"v\":1,\"w\":\"k\",\"s\":1,\"r\":{\"type\":\"MoveBegun\",\"spec\":{}}}",
                "{\"v\":1,\"w\":\"k\",\"s\":1,\"r\":{\"type\":\"UsageReported\",\"budget\":\"b\","
                        + "\"holder\":\"k\",\"usages\":[{}]}}",
                "{\"v\":1,\"w\":\"k\",\"s\":1}",
                "{\"v\":1,\"s\":1,\"r\":{\"type\":\"HolderFrozen\",\"holder\":\"k\"}}",
                "{\"v\":1,\"w\":\"k\",\"s\":1,\"r\":{\"type\":\"HolderFrozen\",\"holder\":\"k\"}}}",
                "null",
                ""
            })
    void aLogRecordThatLacksAFieldIsMalformed(String text) {
        assertThatThrownBy(() -> WireEntry.decode(1, 1, text)).isInstanceOf(ResultException.class);
    }

    /** Guards against a report without its router, which is looked up when it is applied. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"type\":\"CrashEvidence\"}",
                "{\"type\":\"CrashEvidence\",\"crashes\":[],\"clears\":[]}",
                "{\"type\":\"CrashEvidence\",\"router\":\"r\",\"crashes\":[{}],\"clears\":[]}",
                "{\"type\":\"CrashEvidence\",\"router\":\"r\",\"crashes\":[],\"clears\":[{}]}",
                "{\"type\":\"LimitReport\",\"router\":\"r\",\"limits\":[{}],\"demands\":[]}",
                "{\"type\":\"LimitReport\",\"router\":\"r\",\"limits\":[],\"demands\":[{}]}",
                "{\"type\":\"LimitReport\",\"router\":\"r\",\"limits\":[null],\"demands\":[]}",
                "null",
                "[]"
            })
    void aReportThatLacksAFieldIsMalformed(String text) {
        assertThatThrownBy(() -> Json.readComplete(text, RouterReport.class))
                .isInstanceOf(ResultException.class);
    }

    @ParameterizedTest
    @MethodSource("reports")
    void aCompleteReportIsDecodedUnchanged(RouterReport report) {
        assertThat(Json.readComplete(Json.write(report), RouterReport.class)).isEqualTo(report);
    }

    @Test
    void aLimitThatIsNotNamedMayBeAbsent() {
        String text =
                "{\"type\":\"LimitReport\",\"router\":\"r\",\"demands\":[],"
                        + "\"limits\":[{\"endpoint\":\"i-1\",\"observedMillis\":7}]}";
        assertThat(Json.readComplete(text, RouterReport.class))
                .isEqualTo(
                        new LimitReport(
                                Incarnation.of("r"),
                                List.of(
                                        new EndpointLimit(
                                                EndpointId.of("i-1"), Optional.empty(), 7)),
                                List.of()));
    }

    static List<RouterReport> reports() {
        Incarnation router = Incarnation.of("router@vm-1");
        PromptPartId part = new PromptPartId("llm", "5c1e07a2");
        EndpointId endpoint = EndpointId.of("i-1/17");
        return List.of(
                new CrashEvidence(
                        router,
                        List.of(new CrashReport(endpoint, 9, List.of(new SuspectPart(part, 2)))),
                        List.of(new PartClears(part, 3))),
                new LimitReport(
                        router,
                        List.of(
                                new EndpointLimit(endpoint, Optional.of(2.5), 7),
                                new EndpointLimit(endpoint, Optional.empty(), 7)),
                        List.of(new BackEndDemand("llm", 1.5))));
    }
}
