package org.bramleylatch.gateway;

import java.util.function.Consumer;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.platform.KeyedChange;
import org.bramleylatch.platform.KeyedPage;
import org.bramleylatch.platform.OperatorConfig;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells the worlds of each newer configuration of the operator. */
final class OperatorFeed {
    private static final Logger LOG = LoggerFactory.getLogger(OperatorFeed.class);

    private final Consumer<RouterInput> router;
    private final Consumer<KeeperInput> keeper;
    private Runnable changed = () -> {};
    private OperatorConfig latest = OperatorConfig.none();
    private boolean reachable = true;

    OperatorFeed(Consumer<RouterInput> router, Consumer<KeeperInput> keeper) {
        this.router = router;
        this.keeper = keeper;
    }

    /** Calls the action after each newer configuration. */
    void onChange(Runnable action) {
        changed = action;
    }

    /** Returns the newest configuration. */
    OperatorConfig latest() {
        return latest;
    }

    /** Takes a page of the operator's stream. */
    void take(KeyedPage page) {
        if (!reachable) {
            reachable = true;
            LOG.info("operator's stream answers again, configuration {}", revision());
        }
        page.changes().stream()
                .filter(change -> change.key().equals(OperatorConfig.KEY))
                .forEach(this::configure);
    }

    /** Notes that the stream can't be read. */
    void away(ResultCode code) {
        if (reachable) {
            reachable = false;
            LOG.info("operator's stream is away: {}, configuration {}", code, revision());
        }
    }

    private void configure(KeyedChange change) {
        try {
            change.value().map(OperatorConfig::parse).ifPresent(this::takeNewer);
        } catch (ResultException malformed) {
            LOG.warn("configuration passed over: {}", malformed.getMessage());
        }
    }

    private void takeNewer(OperatorConfig config) {
        if (config.configuration().revision() > revision()) {
            latest = config;
            router.accept(new RouterInput.ConfigurationReceived(config.configuration()));
            keeper.accept(new KeeperInput.FundsSeen(config.funds()));
            changed.run();
        }
    }

    private long revision() {
        return latest.configuration().revision();
    }
}
