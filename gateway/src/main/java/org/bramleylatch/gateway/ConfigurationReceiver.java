package org.bramleylatch.gateway;

import java.util.Optional;
import java.util.function.Consumer;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.core.RolloutOrder;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.platform.KeyedChange;
import org.bramleylatch.platform.KeyedPage;
import org.bramleylatch.platform.OperatorConfig;
import org.bramleylatch.platform.RolloutOrders;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the operator's configuration and passes each newer revision to router and keeper. */
final class ConfigurationReceiver {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationReceiver.class);

    private final Consumer<RouterInput> routerInbox;
    private final Consumer<KeeperInput> keeperInbox;
    private Runnable changeListener = () -> {};
    private OperatorConfig latest = OperatorConfig.empty();
    private boolean reachable = true;
    private boolean readToEnd;

    ConfigurationReceiver(Consumer<RouterInput> routerInbox, Consumer<KeeperInput> keeperInbox) {
        this.routerInbox = routerInbox;
        this.keeperInbox = keeperInbox;
    }

    /** Sets the action that runs after each newer configuration; replaces an earlier action. */
    void onChange(Runnable action) {
        changeListener = action;
    }

    /** Returns the newest configuration; {@link OperatorConfig#empty} until one has been read. */
    OperatorConfig latest() {
        return latest;
    }

    /**
     * Returns true once a configuration is known and the stream was read to its end, or became
     * unreachable: the first page may be older than changes that were written meanwhile.
     */
    boolean isCaughtUp() {
        return isKnown() && (readToEnd || !reachable);
    }

    /**
     * Returns true if the next read must not wait for changes, as it tells whether there are any.
     */
    boolean isReadingToEnd() {
        return isKnown() && !readToEnd;
    }

    /** Applies the configurations in a page of the operator's stream. */
    void receivePage(KeyedPage page) {
        if (!reachable) {
            reachable = true;
            LOG.info("operator stream reachable again, configuration revision {}", revision());
        }
        readToEnd |= isKnown() && page.changes().isEmpty();
        page.changes().stream()
                .filter(change -> change.key().equals(OperatorConfig.STREAM_KEY))
                .forEach(this::readChange);
        page.changes().stream()
                .filter(change -> RolloutOrders.isOrder(change.key()))
                .forEach(this::readOrder);
    }

    /** Logs that the stream can't be read; the newest configuration stays in use. */
    void markUnreachable(ResultCode code) {
        if (reachable) {
            reachable = false;
            LOG.info(
                    "operator stream unreachable: {}, keeping configuration revision {}",
                    code,
                    revision());
        }
    }

    private void readOrder(KeyedChange change) {
        Optional<RolloutOrder> order = RolloutOrders.parse(change);
        order.map(RouterInput.RolloutOrdered::new).ifPresent(routerInbox);
        if (order.isEmpty() && change.value().isPresent()) {
            LOG.warn("ignored an invalid order {}: {}", change.key(), change.value().get());
        }
    }

    private void readChange(KeyedChange change) {
        try {
            change.value().map(OperatorConfig::parse).ifPresent(this::applyIfNewer);
        } catch (ResultException malformed) {
            LOG.warn("ignored an invalid configuration: {}", malformed.getMessage());
        }
    }

    private void applyIfNewer(OperatorConfig config) {
        if (config.configuration().revision() > revision()) {
            latest = config;
            routerInbox.accept(new RouterInput.ConfigurationReceived(config.configuration()));
            keeperInbox.accept(new KeeperInput.FundsConfigured(config.funds()));
            changeListener.run();
        }
    }

    private boolean isKnown() {
        return latest.configuration().isKnown();
    }

    private long revision() {
        return latest.configuration().revision();
    }
}
