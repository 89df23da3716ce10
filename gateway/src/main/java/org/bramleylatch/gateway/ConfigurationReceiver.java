package org.bramleylatch.gateway;

import java.time.InstantSource;
import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.edge.RecordGuard;
import org.bramleylatch.platform.KeyedChange;
import org.bramleylatch.platform.KeyedPage;
import org.bramleylatch.platform.OperatorConfig;
import org.bramleylatch.platform.RolloutOrders;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the operator's configuration and passes each newer revision to router and keeper. */
final class ConfigurationReceiver {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationReceiver.class);
    private static final RecordGuard GUARD = RecordGuard.of("operator stream");

    /**
     * Leaves 400 ms for a read until the configuration counts as old, after which nothing is
     * refused for good.
     */
    private static final long MAX_WAIT_MILLIS = 1_500;

    private final Consumer<RouterInput> routerInbox;
    private final Consumer<KeeperInput> keeperInbox;
    private final InstantSource clock;
    private Runnable changeListener = () -> {};
    private OperatorConfig latest = OperatorConfig.empty();
    private boolean reachable = true;
    private boolean readToEnd;
    private boolean lastPageUnreadable;
    private long confirmedMillis;

    /**
     * Creates a receiver.
     *
     * @param clock the clock by which pages tell their time
     */
    ConfigurationReceiver(
            Consumer<RouterInput> routerInbox,
            Consumer<KeeperInput> keeperInbox,
            InstantSource clock) {
        this.routerInbox = routerInbox;
        this.keeperInbox = keeperInbox;
        this.clock = clock;
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

    /**
     * Returns the longest time for which the next read may wait for changes, in milliseconds, so
     * that it confirms the configuration before that counts as old.
     */
    long maxWaitMillis() {
        long ageMillis = clock.millis() - confirmedMillis;
        return isReadingToEnd() ? 0 : Math.max(0, MAX_WAIT_MILLIS - ageMillis);
    }

    /**
     * Returns true if the last page had a value that can't be read, so that a value before it which
     * the page leaves out is still in force.
     */
    boolean needsEarlierValues() {
        return lastPageUnreadable;
    }

    /**
     * Applies the newest valid configuration, then the orders in a page of the operator's stream,
     * and confirms the configuration if the page reaches the end. An invalid configuration is
     * logged and skipped.
     */
    void receivePage(KeyedPage page) {
        if (!reachable) {
            reachable = true;
            LOG.info("operator stream reachable again, configuration revision {}", revision());
        }
        readToEnd |= isKnown() && page.changes().isEmpty();
        lastPageUnreadable = false;
        readNewestConfiguration(page);
        page.applyEach(GUARD, this::readOrder);
        if (page.reachesEnd() && !lastPageUnreadable) {
            confirmedMillis = page.asOfMillis();
            routerInbox.accept(new RouterInput.ConfigurationConfirmed(confirmedMillis));
        }
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

    /** Parses no version that another one replaces, as a parse takes long on a small VM. */
    private void readNewestConfiguration(KeyedPage page) {
        page.changes().stream()
                .filter(change -> change.key().equals(OperatorConfig.STREAM_KEY))
                .filter(change -> change.value().isPresent())
                .sorted(Comparator.comparingLong(ConfigurationReceiver::versionToParse).reversed())
                .filter(change -> versionToParse(change) > revision())
                .flatMap(change -> parse(change).stream())
                .findFirst()
                .ifPresent(this::applyIfNewer);
    }

    /** Returns the highest number for an unreadable version, so that the log says why. */
    private static long versionToParse(KeyedChange change) {
        return change.value()
                .map(OperatorConfig::peekVersion)
                .orElseGet(OptionalLong::empty)
                .orElse(Long.MAX_VALUE);
    }

    private Optional<OperatorConfig> parse(KeyedChange change) {
        Optional<OperatorConfig> parsed =
                GUARD.decode(
                        change.key(),
                        change.offset(),
                        () -> OperatorConfig.parse(change.value().orElseThrow()));
        lastPageUnreadable |= parsed.isEmpty();
        return parsed;
    }

    private void readOrder(KeyedChange change) {
        if (RolloutOrders.isOrder(change.key()) && change.value().isPresent()) {
            RolloutOrders.parse(change)
                    .map(RouterInput.RolloutOrdered::new)
                    .ifPresentOrElse(routerInbox, () -> logInvalidOrder(change));
        }
    }

    private void logInvalidOrder(KeyedChange change) {
        lastPageUnreadable = true;
        LOG.warn("ignored an invalid order {} at offset {}", change.key(), change.offset());
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
