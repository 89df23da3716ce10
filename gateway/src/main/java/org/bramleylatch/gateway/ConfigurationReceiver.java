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
final class ConfigurationReceiver {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationReceiver.class);

    private final Consumer<RouterInput> routerInbox;
    private final Consumer<KeeperInput> keeperInbox;
    private Runnable changeListener = () -> {};
    private OperatorConfig latest = OperatorConfig.none();
    private boolean reachable = true;

    ConfigurationReceiver(Consumer<RouterInput> routerInbox, Consumer<KeeperInput> keeperInbox) {
        this.routerInbox = routerInbox;
        this.keeperInbox = keeperInbox;
    }

    /** Calls the action after each newer configuration. */
    void onChange(Runnable action) {
        changeListener = action;
    }

    /** Returns the newest configuration. */
    OperatorConfig latest() {
        return latest;
    }

    /** Takes a page of the operator's stream. */
    void receivePage(KeyedPage page) {
        if (!reachable) {
            reachable = true;
            LOG.info("operator's stream answers again, configuration {}", revision());
        }
        page.changes().stream()
                .filter(change -> change.key().equals(OperatorConfig.KEY))
                .forEach(this::readChange);
    }

    /** Notes that the stream can't be read. */
    void markUnreachable(ResultCode code) {
        if (reachable) {
            reachable = false;
            LOG.info("operator's stream is away: {}, configuration {}", code, revision());
        }
    }

    private void readChange(KeyedChange change) {
        try {
            change.value().map(OperatorConfig::parse).ifPresent(this::applyIfNewer);
        } catch (ResultException malformed) {
            LOG.warn("configuration passed over: {}", malformed.getMessage());
        }
    }

    private void applyIfNewer(OperatorConfig config) {
        if (config.configuration().revision() > revision()) {
            latest = config;
            routerInbox.accept(new RouterInput.ConfigurationSeen(config.configuration()));
            keeperInbox.accept(new KeeperInput.FundsSeen(config.funds()));
            changeListener.run();
        }
    }

    private long revision() {
        return latest.configuration().revision();
    }
}
