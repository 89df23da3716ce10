package org.bramleylatch.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.junit.jupiter.api.Test;

class SettingsTest {
    private static final String VALID =
            """
            {"zone":"langnau","vm":"vm-1","listen":{"ip":"127.0.0.1","port":8080},
             "platform":{"ip":"127.0.0.1","port":8070}}
            """;

    @Test
    void absentSettingsGetTheirDefaults() {
        Settings settings = Settings.parse("router.json", VALID);
        assertThat(settings.keepers()).isEmpty();
        assertThat(settings.timelineFile()).isEmpty();
        assertThat(settings.mostBodyBytes()).isPositive();
    }

    @Test
    void aValueOfTheWrongTypeIsReportedWithItsFileAndPlace() {
        assertThatThrownBy(() -> Settings.parse("router.json", VALID.replace("8080", "\"x\"")))
                .isInstanceOf(ResultException.class)
                .hasMessageContaining("router.json")
                .hasMessageContaining("/listen/port")
                .extracting(ResultException::codeOf)
                .isEqualTo(ResultCode.SETTINGS_INVALID);
    }

    @Test
    void anUnknownSettingIsRefused() {
        assertThatThrownBy(() -> Settings.parse("r.json", VALID.replace("\"vm\"", "\"vmm\"")))
                .hasMessageContaining("vmm");
    }

    @Test
    void textThatIsNotJsonIsRefusedAsMalformed() {
        assertThatThrownBy(() -> Settings.parse("router.json", "{\n oops"))
                .extracting(ResultException::codeOf)
                .isEqualTo(ResultCode.MALFORMED_JSON);
    }
}
