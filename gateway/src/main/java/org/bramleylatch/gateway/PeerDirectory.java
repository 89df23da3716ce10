package org.bramleylatch.gateway;

import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.edge.RecordGuard;
import org.bramleylatch.platform.Addresses;
import org.bramleylatch.platform.KeyedChange;
import org.bramleylatch.platform.KeyedPage;
import org.bramleylatch.platform.StoreClient;
import org.bramleylatch.wire.Address;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Publishes this process's address to its peers in the store and discovers their addresses. */
final class PeerDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(PeerDirectory.class);
    private static final RecordGuard GUARD = RecordGuard.of("peers");
    private static final long RETRY_MILLIS = 1_000;

    private final Vertx vertx;
    private final StoreClient store;
    private final String vm;
    private final Address ownAddress;
    private final Consumer<Address> onPeerFound;
    private final Consumer<RouterInput> inbox;
    private final Set<String> knownVms = new HashSet<>();

    /**
     * Creates a directory that knows only this process; nothing is announced yet.
     *
     * @param onPeerFound receives the address of each peer, possibly more than once
     * @param inbox receives the number of known routers, this one included
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

    /** Writes the address of this process to the store, and retries until that succeeds. */
    void announce() {
        store.putPeer(vm, ownAddress).exceptionally(this::retry);
    }

    /**
     * Adds the peers in a page of their stream. A peer that was removed still counts as a router.
     */
    void receivePage(KeyedPage page) {
        page.applyEach(GUARD, this::addPeer);
        inbox.accept(new RouterInput.RoutersCounted(knownVms.size()));
    }

    private void addPeer(KeyedChange change) {
        knownVms.add(change.key());
        change.value()
                .flatMap(Addresses::parse)
                .filter(address -> !address.equals(ownAddress))
                .ifPresent(onPeerFound);
    }

    private Long retry(Throwable failure) {
        LOG.info(
                "publishing the address of this process failed, next attempt in {} ms: {}",
                RETRY_MILLIS,
                failure.getMessage());
        vertx.setTimer(RETRY_MILLIS, ignored -> announce());
        return null;
    }
}
