package org.bramleylatch.gateway;

import io.vertx.core.Vertx;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterReport;
import org.bramleylatch.platform.KeyedChange;
import org.bramleylatch.platform.KeyedPage;
import org.bramleylatch.platform.StoreClient;
import org.bramleylatch.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores what this router tells all others, and reads what they have stored. Peers learn of a
 * report faster from the keepers; the store keeps it while processes restart. One write is under
 * way at a time, so that an older report never replaces a newer one.
 */
final class ReportStore {
    private static final Logger LOG = LoggerFactory.getLogger(ReportStore.class);
    private static final long MIN_INTERVAL_MILLIS = 200;
    private static final long RETRY_MILLIS = 1_000;

    private final Vertx vertx;
    private final StoreClient store;
    private final Consumer<RouterInput> inbox;
    private final Map<String, RouterReport> unwritten = new LinkedHashMap<>();
    private boolean writing;

    ReportStore(Vertx vertx, StoreClient store, Consumer<RouterInput> inbox) {
        this.vertx = vertx;
        this.store = store;
        this.inbox = inbox;
    }

    /** Writes the report as soon as the writes before it are done; retries until it is stored. */
    void put(RouterReport report) {
        unwritten.put(report.subject(), report);
        writeNext();
    }

    /** Passes the reports in a page of their stream to the router. */
    void receivePage(KeyedPage page) {
        page.changes().forEach(this::receiveChange);
    }

    private void receiveChange(KeyedChange change) {
        try {
            change.value()
                    .map(text -> Json.read(text, RouterReport.class))
                    .map(RouterInput.ReportReceived::new)
                    .ifPresent(inbox);
        } catch (ResultException malformed) {
            LOG.warn("ignored an invalid report {}: {}", change.key(), malformed.getMessage());
        }
    }

    private void writeNext() {
        if (writing || unwritten.isEmpty()) {
            return;
        }
        writing = true;
        String subject = unwritten.keySet().iterator().next();
        RouterReport report = unwritten.remove(subject);
        store.putReport(subject, Json.write(report))
                .whenComplete((offset, failure) -> handleWritten(subject, report, failure));
    }

    private void handleWritten(String subject, RouterReport report, Throwable failure) {
        if (failure != null) {
            LOG.info(
                    "storing report {} failed, next attempt in {} ms: {}",
                    subject,
                    RETRY_MILLIS,
                    failure.getMessage());
            unwritten.putIfAbsent(subject, report);
        }
        vertx.setTimer(
                failure == null ? MIN_INTERVAL_MILLIS : RETRY_MILLIS,
                ignored -> {
                    writing = false;
                    writeNext();
                });
    }
}
