package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.bramleylatch.core.ResultException;
import org.junit.jupiter.api.Test;

class GatewaySettingsTest {
    private static final Path SHIPPED = Path.of("../deploy/gateway.json");

    @Test
    void theShippedSettingsAreValid() {
        assertThat(GatewaySettings.read(SHIPPED.toString()).grantHorizonMillis()).isPositive();
    }

    @Test
    void aMissingUnknownOrInvalidFieldIsNamedInTheError() throws IOException {
        String shipped = Files.readString(SHIPPED);
        assertRefused(shipped.replace("storeWaitMillis", "storeWaitSeconds"), "storeWaitSeconds");
        assertRefused(shipped.replace("\"storeWaitMillis\": 2000,", ""), "storeWaitMillis");
        assertRefused(shipped.replace("2000", "\"long\""), "storeWaitMillis");
        assertRefused(shipped.replace("2000", "0"), "storeWaitMillis");
    }

    private static void assertRefused(String text, String field) {
        assertThatThrownBy(() -> GatewaySettings.parse("settings", text))
                .isInstanceOf(ResultException.class)
                .hasMessageContaining(field);
    }
}
