package org.bramleylatch.edge;

import static java.util.Objects.requireNonNull;

import io.smallrye.mutiny.subscription.Cancellable;
import java.util.function.Consumer;
import org.bramleylatch.core.Configuration;
import org.bramleylatch.wire.ConfigDocument;
import org.bramleylatch.wire.ConfigRecord;
import org.bramleylatch.wire.Json;

/** Reads the configuration stream and tells of each newer configuration. */
public final class ConfigStream {
    private final PlatformClient platform;
    private final ConfigDocument document = ConfigDocument.empty();

    /** Makes a reader; nothing is read yet. */
    public ConfigStream(PlatformClient platform) {
        this.platform = requireNonNull(platform);
    }

    /** Reads without end; the consumer gets each accepted configuration. */
    public Cancellable follow(Consumer<Configuration> newer) {
        return new LogFollower(platform, Streams.CONFIGURATION)
                .follow(document::nextOffset, page -> take(page, newer), code -> {});
    }

    private void take(LogPage page, Consumer<Configuration> newer) {
        long before = document.configuration().revision();
        page.records().forEach(this::apply);
        if (document.configuration().revision() > before) {
            newer.accept(document.configuration());
        }
    }

    private void apply(LogPage.Item item) {
        document.apply(item.o(), Json.read(item.d(), ConfigRecord.SectionProposed.class));
    }
}
