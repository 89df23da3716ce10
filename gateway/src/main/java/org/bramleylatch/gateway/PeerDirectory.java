package org.bramleylatch.gateway;

import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.platform.Addresses;
import org.bramleylatch.platform.KeyedPage;
import org.bramleylatch.platform.StoreClient;
import org.bramleylatch.wire.Address;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells peers where this process listens, and learns where they do. */
final class PeerDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(PeerDirectory.class);
    private static final long RETRY_MILLIS = 1_000;

    private final Vertx vertx;
    private final StoreClient store;
    private final String vm;
    private final Address ownAddress;
    private final Consumer<Address> onPeerFound;
    private final Consumer<RouterInput> inbox;
    private final Set<String> knownVms = new HashSet<>();

    /**
     * Makes the list; nothing is told yet.
     *
     * @param onPeerFound gets the address of each peer, also more than once
     * @param inbox learns how many routers there are
     */
    PeerDirectory(
            Vertx vertx,
            StoreClient store,
            String vm,
            Address ownAddress,
            Consumer<Address> onPeerFound,
            Consumer<RouterInput> inbox) {
        this.vertx = vertx;
        this.store = store;
        this.vm = vm;
        this.ownAddress = ownAddress;
        this.onPeerFound = onPeerFound;
        this.inbox = inbox;
        knownVms.add(vm);
    }

    /** Tells peers where this process listens, again and again until the store has it. */
    void announce() {
        store.putPeer(vm, ownAddress).exceptionally(this::retry);
    }

    /** Takes a page of the peers' stream. */
    void receivePage(KeyedPage page) {
        page.changes().forEach(change -> knownVms.add(change.key()));
        inbox.accept(new RouterInput.RoutersKnown(knownVms.size()));
        page.changes().stream()
                .flatMap(change -> change.value().stream())
                .flatMap(text -> Addresses.parse(text).stream())
                .filter(address -> !address.equals(ownAddress))
                .forEach(onPeerFound);
    }

    private Long retry(Throwable failure) {
        LOG.info("not announced, next try in {} ms: {}", RETRY_MILLIS, failure.getMessage());
        vertx.setTimer(RETRY_MILLIS, ignored -> announce());
        return null;
    }
}
