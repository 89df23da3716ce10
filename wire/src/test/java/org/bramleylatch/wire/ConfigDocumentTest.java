package org.bramleylatch.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.wire.ConfigRecord.SectionProposed;
import org.junit.jupiter.api.Test;

class ConfigDocumentTest {
    private static final String ROUTE =
            "{\"name\":\"chat\",\"kind\":\"CHAT\",\"selector\":\"m\",\"backEnd\":\"seilhelfer\","
                    + "\"repeatable\":true,\"costTokens\":0,\"shares\":[]}";

    private final ConfigDocument document = ConfigDocument.empty();
    private long offset;

    @Test
    void theRevisionOfAnAcceptedSectionIsItsOffset() {
        assertThat(propose("routes", ConfigDocument.NO_REVISION, "ops", "[" + ROUTE + "]"))
                .isEmpty();
        assertThat(document.configuration().revision()).isZero();
        assertThat(document.configuration().chatRoute("m")).isPresent();
    }

    @Test
    void ofTwoConcurrentProposalsTheSecondIsRefusedWithTheCurrentRevision() {
        propose("routes", ConfigDocument.NO_REVISION, "ops", "[" + ROUTE + "]");
        Optional<ConfigDocument.Refusal> second =
                propose("routes", ConfigDocument.NO_REVISION, "ops", "[]");
        assertThat(second.map(ConfigDocument.Refusal::code)).contains(ResultCode.REVISION_CONFLICT);
        assertThat(second.orElseThrow().detail()).contains("revision 0");
        assertThat(document.configuration().routes()).hasSize(1);
    }

    @Test
    void aProposalByAnotherOwnerIsRefused() {
        propose("routes", ConfigDocument.NO_REVISION, "ops", "[" + ROUTE + "]");
        assertThat(propose("routes", 0, "others", "[]").map(ConfigDocument.Refusal::code))
                .contains(ResultCode.SECTION_OWNER_MISMATCH);
    }

    @Test
    void aSchemaFaultIsReportedWithItsPlace() {
        String wrong = "[" + ROUTE.replace("true", "\"yes\"") + "]";
        Optional<ConfigDocument.Refusal> refusal =
                propose("routes", ConfigDocument.NO_REVISION, "ops", wrong);
        assertThat(refusal.orElseThrow().code()).isEqualTo(ResultCode.CONFIGURATION_INVALID);
        assertThat(refusal.orElseThrow().detail()).contains("routes", "/0/repeatable");
    }

    @Test
    void twoRoutesWithTheSameNameAndSelectorAreRefused() {
        String twice = "[" + ROUTE + "," + ROUTE + "]";
        assertThat(propose("routes", ConfigDocument.NO_REVISION, "ops", twice))
                .map(ConfigDocument.Refusal::detail)
                .hasValueSatisfying(
                        detail -> assertThat(detail).contains("route chat is defined twice"));
    }

    @Test
    void aRepeatedProposalIsAppliedOnce() {
        SectionProposed proposal = proposal("routes", -1, "ops", "[" + ROUTE + "]");
        document.apply(0, 0, proposal);
        assertThat(document.apply(1, 0, proposal).map(ConfigDocument.Refusal::code))
                .contains(ResultCode.RECORD_REPEATED);
    }

    private Optional<ConfigDocument.Refusal> propose(
            String section, long revision, String owner, String content) {
        Optional<ConfigDocument.Refusal> refusal =
                document.apply(offset, 0, proposal(section, revision, owner, content));
        offset++;
        return refusal;
    }

    private SectionProposed proposal(String section, long revision, String owner, String content) {
        return new SectionProposed(
                section, revision, owner, RequestKey.of(offset, offset), Json.readTree(content));
    }
}
