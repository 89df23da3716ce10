package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.platform.BackEndTraits;
import org.bramleylatch.platform.KeyedChange;
import org.bramleylatch.platform.KeyedPage;
import org.junit.jupiter.api.Test;

class EndpointRegistryTest {
    private static final String VALID =
            "{\"service\":\"llm\",\"address\":\"10.128.0.9:8080\",\"zone\":\"langnau\","
                    + "\"version\":\"v1\",\"slots\":128,\"state\":\"ready\",\"seq\":4,\"born\":17}";

    private final List<RouterInput> inbox = new ArrayList<>();
    private final EndpointRegistry registry =
            new EndpointRegistry(name -> BackEndTraits.plainService(), inbox::add);

    /** Guards against requests at an address that the newest entry of its name no longer gives. */
    @Test
    void anInvalidEntryWithdrawsTheEndpointThatItsNameStoodFor() {
        receive(false, change("i-1", VALID, 1));
        receive(false, change("i-1", "{\"service\":[[", 2));
        assertThat(inbox).contains(new RouterInput.EndpointWithdrawn(EndpointId.of("i-1/17")));
    }

    /** Guards against processes that decide by when they started to read. */
    @Test
    void aCompleteListWithAnInvalidEntryWithdrawsThatEndpointOnly() {
        receive(true, change("i-1", VALID, 1), change("i-2", VALID.replace("17", "18"), 2));
        receive(true, change("i-1", "", 3), change("i-2", VALID.replace("17", "18"), 2));
        assertThat(inbox)
                .contains(new RouterInput.EndpointWithdrawn(EndpointId.of("i-1/17")))
                .doesNotContain(new RouterInput.EndpointWithdrawn(EndpointId.of("i-2/18")));
    }

    @Test
    void anEndpointWhoseEntryIsValidAgainIsAnnouncedAgain() {
        receive(false, change("i-1", VALID, 1));
        receive(false, change("i-1", "17", 2));
        inbox.clear();
        receive(false, change("i-1", VALID, 3));
        assertThat(inbox).hasAtLeastOneElementOfType(RouterInput.EndpointAnnounced.class);
    }

    private void receive(boolean listsAllKeys, KeyedChange... changes) {
        registry.receivePage(new KeyedPage(listsAllKeys, true, 0, List.of(changes)));
    }

    private static KeyedChange change(String key, String value, long offset) {
        return new KeyedChange(key, Optional.of(value), offset);
    }
}
