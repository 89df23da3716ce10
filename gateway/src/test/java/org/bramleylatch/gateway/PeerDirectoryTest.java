package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bramleylatch.core.VmRow;
import org.bramleylatch.core.Zone;
import org.bramleylatch.platform.KeyedChange;
import org.bramleylatch.platform.KeyedPage;
import org.bramleylatch.platform.LoopbackStore;
import org.bramleylatch.platform.PeerEntry;
import org.bramleylatch.platform.StoreClient;
import org.bramleylatch.wire.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a process that its peers never find, as the store came back from a copy without
 * what it had published.
 */
class PeerDirectoryTest {
    private static final String TOPIC = "keyed.bramleylatch.peers";
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final long POLL_MILLIS = 20;
    private static final PeerEntry SELF =
            new PeerEntry(
                    new VmRow("front-1", Zone.of("langnau"), 500), new Address("127.0.0.1", 7_000));
    private static final KeyedPage NO_PEERS = new KeyedPage(true, true, 0, List.of());

    private final Vertx vertx = Vertx.vertx();
    private LoopbackStore store;
    private PeerDirectory directory;

    @BeforeEach
    void start() throws Exception {
        store = LoopbackStore.start(vertx).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        StoreClient client = new StoreClient(vertx, store.address(), InstantSource.system());
        directory =
                new PeerDirectory(
                        vertx, client, SELF, 1_000, address -> {}, router -> {}, keeper -> {});
    }

    @AfterEach
    void stop() {
        vertx.close();
    }

    @Test
    void aProcessThatTheStoreHasForgottenPublishesItselfAgain() throws Exception {
        Map<String, List<Buffer>> emptyCopy = store.copy();
        directory.receivePage(NO_PEERS);
        awaitPublished();
        store.restore(emptyCopy);
        directory.receivePage(NO_PEERS);
        awaitPublished();
    }

    @Test
    void aProcessWhoseEarlierAddressTheStoreHasPublishesItselfAgain() throws Exception {
        Map<String, List<Buffer>> emptyCopy = store.copy();
        directory.receivePage(NO_PEERS);
        awaitPublished();
        store.restore(emptyCopy);
        KeyedChange earlier =
                new KeyedChange("front-1", Optional.of("127.0.0.1:6000 500 langnau"), 0);
        directory.receivePage(new KeyedPage(true, true, 0, List.of(earlier)));
        awaitPublished();
    }

    private void awaitPublished() throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!isPublished() && System.nanoTime() < endNanos) {
            Thread.sleep(POLL_MILLIS);
        }
        assertThat(isPublished()).isTrue();
    }

    private boolean isPublished() {
        return store.newestValue(TOPIC).contains("127.0.0.1:7000");
    }
}
