package org.bramleylatch.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.junit.jupiter.api.Test;

class SettingsTest {
    private static final String GOOD =
            """
            {"zone":"langnau","vm":"vm-1","listen":{"ip":"127.0.0.1","port":8080},
             "platform":{"ip":"127.0.0.1","port":8070}}
            """;

    @Test
    void absentSettingsTakeTheirDefaults() {
        Settings settings = Settings.parse("router.json", GOOD);
        assertThat(settings.keepers()).isEmpty();
        assertThat(settings.timelineFile()).isEmpty();
        assertThat(settings.mostBodyBytes()).isPositive();
    }

    @Test
    void aWrongTypeIsNamedWithItsFileAndPlace() {
        assertThatThrownBy(() -> Settings.parse("router.json", GOOD.replace("8080", "\"x\"")))
                .isInstanceOf(ResultException.class)
                .hasMessageContaining("router.json")
                .hasMessageContaining("/listen/port")
                .extracting(ResultException::codeOf)
                .isEqualTo(ResultCode.SETTINGS_INVALID);
    }

    @Test
    void anUnknownSettingIsRefused() {
        assertThatThrownBy(() -> Settings.parse("r.json", GOOD.replace("\"vm\"", "\"vmm\"")))
                .hasMessageContaining("vmm");
    }

    @Test
    void textThatIsNotJsonIsNamedWithItsLine() {
        assertThatThrownBy(() -> Settings.parse("router.json", "{\n oops"))
                .extracting(ResultException::codeOf)
                .isEqualTo(ResultCode.MALFORMED_JSON);
    }
}
