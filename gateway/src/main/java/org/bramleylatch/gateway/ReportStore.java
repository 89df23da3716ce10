package org.bramleylatch.gateway;

import io.vertx.core.Vertx;
import java.util.function.Consumer;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterReport;
import org.bramleylatch.edge.RecordGuard;
import org.bramleylatch.platform.KeyedChange;
import org.bramleylatch.platform.KeyedPage;
import org.bramleylatch.platform.StoreClient;
import org.bramleylatch.wire.Json;

/**
 * Stores what this router tells all others, and reads what they have stored. Peers learn of a
 * report faster from the keepers; the store keeps it while processes restart.
 */
final class ReportStore {
    private static final RecordGuard GUARD = RecordGuard.of("router reports");

    private final Consumer<RouterInput> inbox;
    private final LatestValueWriter<RouterReport> writer;

    ReportStore(Vertx vertx, StoreClient store, Consumer<RouterInput> inbox) {
        this.inbox = inbox;
        this.writer =
                new LatestValueWriter<>(
                        vertx, (subject, report) -> store.putReport(subject, Json.write(report)));
    }

    /** Writes the report as soon as the writes before it are done; retries until it is stored. */
    void put(RouterReport report) {
        writer.put(report.subject(), report);
    }

    /** Passes the reports in a page of their stream to the router. */
    void receivePage(KeyedPage page) {
        page.applyEach(GUARD, this::receiveChange);
    }

    private void receiveChange(KeyedChange change) {
        change.value()
                .map(text -> Json.readComplete(text, RouterReport.class))
                .map(RouterInput.ReportReceived::new)
                .ifPresent(inbox);
    }
}
