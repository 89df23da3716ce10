package org.bramleylatch.gateway;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.edge.LedgerStream;
import org.bramleylatch.edge.LogFollower;
import org.bramleylatch.edge.ReadPace;
import org.bramleylatch.platform.KeyedPage;
import org.bramleylatch.platform.KeyedStream;
import org.bramleylatch.platform.StoreClient;

/** Follows the streams of the store and passes their changes to those who use them. */
record StoreFollowers(
        StoreClient store,
        GatewaySettings settings,
        ConfigurationReceiver configurationReceiver,
        EndpointRegistry endpointRegistry,
        LedgerStream ledgerStream,
        PeerDirectory peerDirectory,
        ReportStore reportStore,
        BooleanSupplier isKeeperActive) {
    /**
     * Long, as new peers and reports are rare, and no request depends on a keeper that is not known
     * yet.
     */
    private static final long RARE_CHANGES_WAIT_MILLIS = 10_000;

    private static final Duration MAX_RETRY_PAUSE = Duration.ofMillis(400);

    /** Starts to follow all streams. */
    void follow() {
        ReadPace changePace = pace(settings.storeWaitMillis(), 0);
        ReadPace rareChangePace = pace(RARE_CHANGES_WAIT_MILLIS, 0);
        KeyedStream operatorConfig = KeyedStream.operatorConfig(store);
        follow(
                "operator stream",
                waitMillis -> readOperatorConfig(operatorConfig, waitMillis),
                changePace,
                configurationReceiver::receivePage,
                configurationReceiver::markUnreachable);
        follow(
                "endpoint registry",
                KeyedStream.endpoints(store)::read,
                changePace,
                endpointRegistry::receivePage,
                code -> endpointRegistry.markUnreachable());
        ledgerStream.follow(
                new ReadPace(settings.storeWaitMillis(), this::ledgerPauseMillis, MAX_RETRY_PAUSE));
        follow(
                "peers",
                KeyedStream.peers(store)::read,
                rareChangePace,
                peerDirectory::receivePage,
                code -> {});
        follow(
                "router reports",
                KeyedStream.routerReports(store)::read,
                rareChangePace,
                reportStore::receivePage,
                code -> {});
    }

    private CompletableFuture<KeyedPage> readOperatorConfig(KeyedStream stream, long waitMillis) {
        if (configurationReceiver.needsEarlierValues()) {
            return stream.readSkipped();
        }
        return stream.read(Math.min(waitMillis, configurationReceiver.maxWaitMillis()));
    }

    private long ledgerPauseMillis() {
        return isKeeperActive.getAsBoolean()
                ? settings.ledgerPauseMillis()
                : settings.inactiveLedgerPauseMillis();
    }

    private static ReadPace pace(long waitMillis, long pauseMillis) {
        return new ReadPace(waitMillis, () -> pauseMillis, MAX_RETRY_PAUSE);
    }

    private static void follow(
            String stream,
            LongFunction<CompletableFuture<KeyedPage>> read,
            ReadPace pace,
            Consumer<KeyedPage> onPage,
            Consumer<ResultCode> onFailure) {
        new LogFollower<>(stream, read, pace).follow(onPage, onFailure);
    }
}
