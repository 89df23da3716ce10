package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.platform.KeyedChange;
import org.bramleylatch.platform.KeyedPage;
import org.bramleylatch.platform.OperatorConfig;
import org.junit.jupiter.api.Test;

/**
 * Guards against a gateway that reports that it is ready with a configuration that is older than
 * the one that follows it in the stream.
 */
class ConfigurationReceiverTest {
    private final List<RouterInput> routerInbox = new ArrayList<>();
    private final List<KeeperInput> keeperInbox = new ArrayList<>();
    private final ConfigurationReceiver receiver =
            new ConfigurationReceiver(routerInbox::add, keeperInbox::add);

    @Test
    void theFirstPageIsNotTheEndWhileTheNextOneIsBeingRead() {
        receiver.receivePage(page(1));
        assertThat(receiver.isReadingToEnd()).isTrue();
        assertThat(receiver.isCaughtUp()).isFalse();
        receiver.receivePage(page(2));
        assertThat(receiver.isCaughtUp()).isFalse();
        receiver.receivePage(page());
        assertThat(receiver.isCaughtUp()).isTrue();
        assertThat(receiver.isReadingToEnd()).isFalse();
    }

    @Test
    void anEmptyStreamIsWaitedForAndIsNotTheEnd() {
        receiver.receivePage(page());
        assertThat(receiver.isReadingToEnd()).isFalse();
        assertThat(receiver.isCaughtUp()).isFalse();
    }

    @Test
    void aKnownConfigurationStaysInUseWhileTheStreamIsUnreachable() {
        receiver.receivePage(page(1));
        receiver.markUnreachable(ResultCode.LOG_UNAVAILABLE);
        assertThat(receiver.isCaughtUp()).isTrue();
    }

    private static KeyedPage page(int... versions) {
        List<KeyedChange> changes = new ArrayList<>();
        for (int version : versions) {
            String text =
                    "{\"version\": "
                            + version
                            + ", \"routes\": [], \"services\": [], \"tenants\": []}";
            changes.add(new KeyedChange(OperatorConfig.STREAM_KEY, Optional.of(text), version));
        }
        return new KeyedPage(true, changes);
    }
}
