package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
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
    private static final long READ_MILLIS = 1_700_000_000_000L;

    private final List<RouterInput> routerInbox = new ArrayList<>();
    private final List<KeeperInput> keeperInbox = new ArrayList<>();
    private long ageMillis;
    private final ConfigurationReceiver receiver =
            new ConfigurationReceiver(
                    routerInbox::add,
                    keeperInbox::add,
                    () -> Instant.ofEpochMilli(READ_MILLIS + ageMillis));

    @Test
    void theFirstPageIsNotTheEndWhileTheNextOneIsBeingRead() {
        receiver.receivePage(page(1));
        assertThat(receiver.isReadingToEnd()).isTrue();
        assertThat(receiver.isCaughtUp()).isFalse();
        receiver.receivePage(page(2));
        assertThat(receiver.isCaughtUp()).isFalse();
        receiver.receivePage(page(new String[0]));
        assertThat(receiver.isCaughtUp()).isTrue();
        assertThat(receiver.isReadingToEnd()).isFalse();
    }

    @Test
    void anEmptyStreamIsWaitedForAndIsNotTheEnd() {
        receiver.receivePage(page(new String[0]));
        assertThat(receiver.isReadingToEnd()).isFalse();
        assertThat(receiver.isCaughtUp()).isFalse();
    }

    @Test
    void aPageThatReachesTheEndConfirmsThatNoNewerConfigurationWasInForceWhenItWasRead() {
        receiver.receivePage(page(new String[0]));
        assertThat(routerInbox)
                .containsExactly(new RouterInput.ConfigurationConfirmed(READ_MILLIS));
    }

    /** Guards against refusals as CONFIGURATION_STALE while the store answers in time. */
    @Test
    void theNextReadWaitsNoLongerThanUntilTheConfigurationIsAboutToCountAsOld() {
        receiver.receivePage(page(1));
        assertThat(receiver.maxWaitMillis()).isZero();
        receiver.receivePage(page(new String[0]));
        assertThat(receiver.maxWaitMillis()).isEqualTo(1_500);
        ageMillis = 1_400;
        assertThat(receiver.maxWaitMillis()).isEqualTo(100);
        ageMillis = 2_500;
        assertThat(receiver.maxWaitMillis()).isZero();
    }

    @Test
    void aKnownConfigurationStaysInUseWhileTheStreamIsUnreachable() {
        receiver.receivePage(page(1));
        receiver.markUnreachable(ResultCode.LOG_UNAVAILABLE);
        assertThat(receiver.isCaughtUp()).isTrue();
    }

    /** Guards against a VM that is late by the sum of all versions that wait to be parsed. */
    @Test
    void onlyTheNewestVersionOfAPageIsApplied() {
        receiver.receivePage(page(1, 2, 3));
        assertThat(appliedVersions()).containsExactly(3L);
    }

    @Test
    void aLowerVersionBehindAHigherOneIsNotApplied() {
        receiver.receivePage(page(1, 3, 2));
        assertThat(appliedVersions()).containsExactly(3L);
    }

    @Test
    void theNewestValidVersionOfAPageIsApplied() {
        String notAConfiguration = "{\"version\": 4, \"routes\": 0}";
        receiver.receivePage(page(text(2), text(3), notAConfiguration, "{\"version\":", "[]"));
        assertThat(appliedVersions()).containsExactly(3L);
        assertThat(receiver.needsEarlierValues()).isTrue();
        receiver.receivePage(page(text(2)));
        assertThat(receiver.needsEarlierValues()).isFalse();
    }

    @Test
    void aVersionThatDoesNotComeFirstInItsDocumentIsFound() {
        String text =
                "{\"tenants\": [{\"name\": \"a\", \"version\": 9}], "
                        + "\"routes\": [], \"version\": 4}";
        receiver.receivePage(page(text(5), text));
        assertThat(appliedVersions()).containsExactly(5L);
    }

    private List<Long> appliedVersions() {
        return routerInbox.stream()
                .filter(RouterInput.ConfigurationReceived.class::isInstance)
                .map(RouterInput.ConfigurationReceived.class::cast)
                .map(received -> received.configuration().revision())
                .toList();
    }

    private static KeyedPage page(int... versions) {
        return page(
                IntStream.of(versions)
                        .mapToObj(ConfigurationReceiverTest::text)
                        .toArray(String[]::new));
    }

    private static KeyedPage page(String... texts) {
        List<KeyedChange> changes = new ArrayList<>();
        for (String text : texts) {
            changes.add(
                    new KeyedChange(OperatorConfig.STREAM_KEY, Optional.of(text), changes.size()));
        }
        return new KeyedPage(true, true, READ_MILLIS, changes);
    }

    private static String text(int version) {
        return "{\"version\": " + version + ", \"routes\": [], \"services\": [], \"tenants\": []}";
    }
}
