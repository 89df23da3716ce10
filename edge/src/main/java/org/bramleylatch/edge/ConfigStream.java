package org.bramleylatch.edge;

import static java.util.Objects.requireNonNull;

import io.smallrye.mutiny.subscription.Cancellable;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.bramleylatch.core.Configuration;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.wire.ConfigReader;

/**
 * Reads the configuration stream and reports each newer configuration and the result of each
 * proposal.
 */
public final class ConfigStream {
    private static final int MAX_READ_RECORDS = 5_000;

    private final LogService log;
    private final ConfigReader reader = ConfigReader.atStart();
    private boolean caughtUp;

    /** Creates a reader that reads nothing yet. */
    public ConfigStream(LogService log) {
        this.log = requireNonNull(log);
    }

    /** Returns the reader that holds the document read so far. */
    public ConfigReader reader() {
        return reader;
    }

    /**
     * Returns true once the configuration is known and was read to its end: a page that brought it
     * may be older than records that were appended while the page was on its way.
     */
    public boolean isCaughtUp() {
        return caughtUp;
    }

    /**
     * Reads the stream until cancelled.
     *
     * @param onConfiguration receives the configuration after each read that brought a newer
     *     revision
     * @param onProposalResult receives each proposal that was read, with its acceptance or refusal
     */
    public Cancellable follow(
            Consumer<Configuration> onConfiguration,
            Consumer<ConfigReader.ProposalResult> onProposalResult) {
        return new LogFollower<LogPage>(
                        LogStreams.CONFIGURATION, this::readPage, ReadPace.standard())
                .follow(
                        page -> receivePage(page, onConfiguration, onProposalResult),
                        this::handleReadFailure);
    }

    /** Does not wait between the first revision and the end of the stream. */
    private CompletableFuture<LogPage> readPage(long waitMillis) {
        long allowedWaitMillis = isKnown() && !caughtUp ? 0 : waitMillis;
        return log.read(
                LogStreams.CONFIGURATION, reader.readOffset(), MAX_READ_RECORDS, allowedWaitMillis);
    }

    private boolean isKnown() {
        return reader.document().configuration().isKnown();
    }

    private void handleReadFailure(ResultCode code) {
        if (code == ResultCode.LOG_POSITION_EXPIRED) {
            reader.markExpired();
        }
    }

    private void receivePage(
            LogPage page,
            Consumer<Configuration> onConfiguration,
            Consumer<ConfigReader.ProposalResult> onProposalResult) {
        long previousRevision = reader.document().configuration().revision();
        for (LogPage.Item item : page.records()) {
            List<ConfigReader.ProposalResult> proposalResults =
                    reader.apply(
                            page.earliestOffset(), item.offset(), item.timeMillis(), item.text());
            proposalResults.forEach(onProposalResult);
        }
        caughtUp |= isKnown() && page.records().isEmpty();
        if (reader.document().configuration().revision() > previousRevision) {
            onConfiguration.accept(reader.document().configuration());
        }
    }
}
