package org.bramleylatch.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.edge.RecordGuard;
import org.bramleylatch.platform.BackEndTraits;
import org.bramleylatch.platform.EndpointEntry;
import org.bramleylatch.platform.KeyedChange;
import org.bramleylatch.platform.KeyedPage;
import org.bramleylatch.wire.Address;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tracks the endpoints in the platform's registry, and reports their changes to the router. */
final class EndpointRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointRegistry.class);
    private static final RecordGuard GUARD = RecordGuard.of("endpoint registry");

    private final Function<String, BackEndTraits> traitsOf;
    private final Consumer<RouterInput> inbox;
    private final Map<String, EndpointEntry> listedByKey = new HashMap<>();
    private final Map<EndpointId, EndpointEntry> announcedById = new HashMap<>();

    EndpointRegistry(Function<String, BackEndTraits> traitsOf, Consumer<RouterInput> inbox) {
        this.traitsOf = traitsOf;
        this.inbox = inbox;
    }

    /**
     * Returns the newest entry of an endpoint, even after it was withdrawn; empty if it was never
     * listed.
     */
    Optional<EndpointEntry> find(EndpointId endpoint) {
        return Optional.ofNullable(announcedById.get(endpoint));
    }

    /** Returns true if an endpoint is listed at the address. */
    boolean isListed(Address address) {
        return listedByKey.values().stream().anyMatch(entry -> entry.address().equals(address));
    }

    /**
     * Applies a page of the endpoints' stream. A page that lists all keys withdraws every endpoint
     * that is missing from it.
     */
    void receivePage(KeyedPage page) {
        inbox.accept(new RouterInput.RegistryReachabilityReported(true));
        if (page.listsAllKeys()) {
            withdrawUnlisted(page);
        }
        page.applyEach(GUARD, this::applyChange);
    }

    /** Reports that the registry is unreachable. */
    void markUnreachable() {
        inbox.accept(new RouterInput.RegistryReachabilityReported(false));
    }

    /** Announces every endpoint again, as a new configuration may change the back-end traits. */
    void announceAll() {
        listedByKey.values().forEach(this::announce);
    }

    private void withdrawUnlisted(KeyedPage page) {
        Set<String> missing = new HashSet<>(listedByKey.keySet());
        page.changes().forEach(change -> missing.remove(change.key()));
        missing.forEach(this::withdraw);
    }

    /**
     * Applies a change. An invalid entry names no endpoint, so it withdraws the one that its key
     * named before: a process that starts later sees only the invalid entry and must decide alike.
     */
    private void applyChange(KeyedChange change) {
        Optional<EndpointEntry> entry =
                change.value().flatMap(text -> EndpointEntry.parse(change.key(), text));
        if (entry.isPresent()) {
            replace(change.key(), entry.get());
        } else {
            change.value().ifPresent(text -> logInvalid(change));
            withdraw(change.key());
        }
    }

    private void logInvalid(KeyedChange change) {
        LOG.warn(
                "registry entry {} at offset {} is invalid and names no endpoint, known before: {}",
                change.key(),
                change.offset(),
                listedByKey.containsKey(change.key()));
    }

    private void replace(String key, EndpointEntry entry) {
        Optional<EndpointEntry> previous = Optional.ofNullable(listedByKey.put(key, entry));
        previous.filter(old -> !old.id().equals(entry.id()))
                .ifPresent(old -> inbox.accept(new RouterInput.EndpointWithdrawn(old.id())));
        if (previous.filter(entry::equals).isEmpty()) {
            announce(entry);
        }
    }

    private void announce(EndpointEntry entry) {
        announcedById.put(entry.id(), entry);
        inbox.accept(
                new RouterInput.EndpointAnnounced(entry.toRow(traitsOf.apply(entry.backEnd()))));
    }

    private void withdraw(String key) {
        Optional.ofNullable(listedByKey.remove(key))
                .ifPresent(old -> inbox.accept(new RouterInput.EndpointWithdrawn(old.id())));
    }
}
