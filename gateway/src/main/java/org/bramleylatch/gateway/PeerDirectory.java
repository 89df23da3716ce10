package org.bramleylatch.gateway;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.bramleylatch.core.HolderSelection;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.VmRow;
import org.bramleylatch.edge.RecordGuard;
import org.bramleylatch.platform.KeyedChange;
import org.bramleylatch.platform.KeyedPage;
import org.bramleylatch.platform.PeerEntry;
import org.bramleylatch.platform.StoreClient;
import org.bramleylatch.wire.Address;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Publishes this process to its peers in the store, discovers them, and connects to those that are
 * selected as holders.
 */
final class PeerDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(PeerDirectory.class);
    private static final RecordGuard GUARD = RecordGuard.of("peers");
    private static final long RETRY_MILLIS = 1_000;

    private final Vertx vertx;
    private final StoreClient store;
    private final PeerEntry self;
    private final Consumer<Address> onHolderFound;
    private final Consumer<RouterInput> routerInbox;
    private final Consumer<KeeperInput> keeperInbox;
    private final Map<String, PeerEntry> peers = new HashMap<>();
    private final long settleMillis;
    private boolean announced;
    private boolean selectionScheduled;
    private boolean selected;

    /**
     * Creates a directory that knows only this process; nothing is announced yet.
     *
     * @param self what this process publishes
     * @param settleMillis how long to wait for the VMs that start together before holders are
     *     selected among them
     * @param onHolderFound receives the address of each holder, possibly more than once
     * @param routerInbox receives the known VMs and their number, this one included
     * @param keeperInbox receives whether this VM is selected as a holder
     */
    PeerDirectory(
            Vertx vertx,
            StoreClient store,
            PeerEntry self,
            long settleMillis,
            Consumer<Address> onHolderFound,
            Consumer<RouterInput> routerInbox,
            Consumer<KeeperInput> keeperInbox) {
        this.vertx = vertx;
        this.store = store;
        this.self = self;
        this.settleMillis = settleMillis;
        this.onHolderFound = onHolderFound;
        this.routerInbox = routerInbox;
        this.keeperInbox = keeperInbox;
        peers.put(self.vm().vm(), self);
    }

    /** Returns true once holders were selected for the first time. */
    boolean hasSelected() {
        return selected;
    }

    /**
     * Adds the peers in a page of their stream. A peer that was removed still counts as a router.
     * The first page tells whether this VM was known before this run; then so were its peers, and
     * nothing is waited for.
     */
    void receivePage(KeyedPage page) {
        boolean wasKnown = !announced && page.contains(self.vm().vm());
        page.applyEach(GUARD, this::addPeer);
        if (!announced || isForgotten(page)) {
            announced = true;
            peers.put(self.vm().vm(), self);
            publish();
        }
        routerInbox.accept(new RouterInput.RoutersCounted(peers.size()));
        routerInbox.accept(new RouterInput.VmsAnnounced(vms()));
        if (wasKnown) {
            selectHolders();
        } else if (!selectionScheduled) {
            selectionScheduled = true;
            vertx.setTimer(settleMillis, ignored -> selectHolders());
        }
    }

    /** Returns true if the store came back from a copy that lacks what this process published. */
    private boolean isForgotten(KeyedPage page) {
        String vm = self.vm().vm();
        return page.listsAllKeys() && !(page.contains(vm) && self.equals(peers.get(vm)));
    }

    /** Returns the address on which a peer accepts connections; empty if it is unknown. */
    Optional<Address> find(String vm) {
        return Optional.ofNullable(peers.get(vm)).map(PeerEntry::address);
    }

    private void addPeer(KeyedChange change) {
        change.value()
                .flatMap(text -> PeerEntry.parse(change.key(), text))
                .ifPresent(peer -> peers.put(change.key(), peer));
    }

    private void selectHolders() {
        selectionScheduled = false;
        selected = true;
        HolderSelection holders = HolderSelection.among(vms());
        keeperInbox.accept(new KeeperInput.HolderSelected(holders.contains(self.vm().vm())));
        peers.values().stream()
                .filter(peer -> !peer.vm().vm().equals(self.vm().vm()))
                .filter(peer -> holders.contains(peer.vm().vm()))
                .map(PeerEntry::address)
                .forEach(onHolderFound);
    }

    private List<VmRow> vms() {
        return peers.values().stream().map(PeerEntry::vm).toList();
    }

    private void publish() {
        store.putPeer(self).exceptionally(this::retry);
    }

    private Long retry(Throwable failure) {
        LOG.info(
                "publishing the address of this process failed, next attempt in {} ms: {}",
                RETRY_MILLIS,
                failure.getMessage());
        vertx.setTimer(RETRY_MILLIS, ignored -> publish());
        return null;
    }
}
