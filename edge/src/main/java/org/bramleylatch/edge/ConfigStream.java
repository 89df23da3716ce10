package org.bramleylatch.edge;

import static java.util.Objects.requireNonNull;

import io.smallrye.mutiny.subscription.Cancellable;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.bramleylatch.core.Configuration;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.wire.ConfigReader;

/** Reads the configuration stream and tells of each newer configuration and each verdict. */
public final class ConfigStream {
    private static final int MOST_RECORDS = 5_000;

    private final PlatformClient platform;
    private final ConfigReader reader = ConfigReader.atStart();

    /** Makes a reader; nothing is read yet. */
    public ConfigStream(PlatformClient platform) {
        this.platform = requireNonNull(platform);
    }

    /** Returns what was read so far. */
    public ConfigReader reader() {
        return reader;
    }

    /**
     * Reads without end.
     *
     * @param newer gets each accepted configuration
     * @param verdicts gets each proposal with the fold's verdict
     */
    public Cancellable follow(
            Consumer<Configuration> newer, Consumer<ConfigReader.Judged> verdicts) {
        return new LogFollower<LogPage>(this::read, Pace.standard())
                .follow(page -> take(page, newer, verdicts), this::failed);
    }

    private CompletableFuture<LogPage> read(long waitMillis) {
        return platform.read(
                LogStreams.CONFIGURATION, reader.readOffset(), MOST_RECORDS, waitMillis);
    }

    private void failed(ResultCode code) {
        if (code == ResultCode.LOG_POSITION_EXPIRED) {
            reader.expired();
        }
    }

    private void take(
            LogPage page, Consumer<Configuration> newer, Consumer<ConfigReader.Judged> verdicts) {
        long before = reader.document().configuration().revision();
        for (LogPage.Item item : page.records()) {
            List<ConfigReader.Judged> judged =
                    reader.take(page.earliest(), item.o(), item.t(), item.d());
            judged.forEach(verdicts);
        }
        if (reader.document().configuration().revision() > before) {
            newer.accept(reader.document().configuration());
        }
    }
}
