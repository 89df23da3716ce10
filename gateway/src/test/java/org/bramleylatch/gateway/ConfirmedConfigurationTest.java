package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.platform.KeyedPage;
import org.bramleylatch.platform.KeyedStream;
import org.bramleylatch.platform.LoopbackStore;
import org.bramleylatch.platform.StoreClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against CONFIG: a VM takes its configuration for recent though changes wait behind what it
 * read, and refuses a route that was added for good.
 */
class ConfirmedConfigurationTest {
    private static final long AWAIT_SECONDS = 10;

    /** Exceeds a page of changes, so that each version comes in a page of its own. */
    private static final int VERSION_BYTES = 100_000;

    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final long WAIT_MILLIS = 200;
    private static final long JOURNEY_MILLIS = 2_000;
    private static final int NEWEST_VALID_VERSION = 6;
    private static final String UNREADABLE = "{\"version\": 7, \"routes\": 0}";

    private final Vertx vertx = Vertx.vertx();
    private final List<RouterInput> routerInbox = new ArrayList<>();
    private final AtomicLong nowMillis = new AtomicLong(START_MILLIS);
    private final InstantSource clock = () -> Instant.ofEpochMilli(nowMillis.get());
    private final ConfigurationReceiver receiver =
            new ConfigurationReceiver(routerInbox::add, message -> {}, clock);
    private LoopbackStore store;
    private KeyedStream stream;

    @BeforeEach
    void start() throws Exception {
        store = LoopbackStore.start(vertx).get(AWAIT_SECONDS, TimeUnit.SECONDS);
        stream = KeyedStream.operatorConfig(new StoreClient(vertx, store.address(), clock));
        store.putConfiguration(text(1));
        receive(stream.read(0));
    }

    @AfterEach
    void stop() {
        vertx.close();
    }

    @Test
    void theNewestValuesConfirmTheConfiguration() {
        assertThat(isConfirmed()).isTrue();
    }

    @Test
    void aNewestValueThatCannotBeReadDoesNotConfirmTheOneBeforeIt() throws Exception {
        putVersionsBehindTheReader();
        receive(stream.read(0));
        assertThat(receiver.needsEarlierValues()).isTrue();
        assertThat(isConfirmed()).isFalse();
    }

    @Test
    void skippedVersionsConfirmTheConfigurationOnceTheLastOfThemIsRead() throws Exception {
        putVersionsBehindTheReader();
        receive(stream.read(0));
        for (int version = 2; version < NEWEST_VALID_VERSION; version++) {
            receive(version == 2 ? stream.readSkipped() : stream.read(0));
            assertThat(receiver.latest().configuration().revision()).isEqualTo(version);
            assertThat(isConfirmed()).isFalse();
        }
        receive(stream.read(0));
        receive(stream.read(0));
        assertThat(receiver.needsEarlierValues()).isTrue();
        assertThat(isConfirmed()).isFalse();
        receive(stream.readSkipped());
        assertThat(receiver.latest().configuration().revision()).isEqualTo(NEWEST_VALID_VERSION);
        assertThat(isConfirmed()).isTrue();
    }

    /** Guards against a page that takes seconds over a full link and is taken for recent. */
    @Test
    void newestValuesThatComeLateConfirmTheTimeAtWhichTheyWereAsked() throws Exception {
        stream = KeyedStream.operatorConfig(new StoreClient(vertx, store.address(), clock));
        store.delayReadsMillis(WAIT_MILLIS);
        receiveAfterJourney(stream.read(0));
        assertThat(confirmedMillis()).isEqualTo(START_MILLIS);
    }

    @Test
    void aChangeThatEndsAWaitConfirmsTheTimeAtWhichItWasAsked() throws Exception {
        CompletableFuture<KeyedPage> read = stream.read(WAIT_MILLIS);
        store.putConfiguration(text(2));
        receiveAfterJourney(read);
        assertThat(receiver.latest().configuration().revision()).isEqualTo(2);
        assertThat(confirmedMillis()).isEqualTo(START_MILLIS);
    }

    @Test
    void aWaitWithoutAChangeConfirmsTheTimeAtWhichItEnded() throws Exception {
        receiveAfterJourney(stream.read(WAIT_MILLIS));
        assertThat(confirmedMillis()).isEqualTo(START_MILLIS + WAIT_MILLIS);
    }

    private void receiveAfterJourney(CompletableFuture<KeyedPage> read) throws Exception {
        routerInbox.clear();
        nowMillis.addAndGet(JOURNEY_MILLIS);
        receive(read);
    }

    private long confirmedMillis() {
        return routerInbox.stream()
                .filter(RouterInput.ConfigurationConfirmed.class::isInstance)
                .map(RouterInput.ConfigurationConfirmed.class::cast)
                .mapToLong(RouterInput.ConfigurationConfirmed::asOfMillis)
                .max()
                .orElseThrow();
    }

    private void putVersionsBehindTheReader() {
        for (int version = 2; version <= NEWEST_VALID_VERSION; version++) {
            store.putConfiguration(text(version));
        }
        store.putConfiguration(UNREADABLE);
        routerInbox.clear();
    }

    private void receive(CompletableFuture<KeyedPage> read) throws Exception {
        receiver.receivePage(read.get(AWAIT_SECONDS, TimeUnit.SECONDS));
    }

    private boolean isConfirmed() {
        return routerInbox.stream().anyMatch(RouterInput.ConfigurationConfirmed.class::isInstance);
    }

    private static String text(int version) {
        return "{\"version\": "
                + version
                + ", \"routes\": [], \"services\": [], \"tenants\": []}"
                + " ".repeat(VERSION_BYTES);
    }
}
