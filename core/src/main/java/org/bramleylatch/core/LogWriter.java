package org.bramleylatch.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.function.Supplier;
import org.bramleylatch.core.LedgerRecord.GrantAsked;
import org.bramleylatch.core.LedgerRecord.GrantReturned;
import org.bramleylatch.core.LedgerRecord.HolderSucceeded;
import org.bramleylatch.core.LedgerRecord.IntentDeclared;
import org.bramleylatch.core.LedgerRecord.SnapshotPart;
import org.bramleylatch.core.LedgerRecord.UsageReported;
import org.bramleylatch.core.LedgerRecord.UsageSummed;

/**
 * Brings a process's records to the log, one batch at a time. A batch whose answer is unknown is
 * sent again with the same numbers, so that the fold takes each record once.
 */
public final class LogWriter {
    private static final int SNAPSHOT_PART_WEIGHT = 100;

    private final Queue<LedgerRecord> queue = new ArrayDeque<>();
    private final List<Numbered> inFlight = new ArrayList<>();
    private long lastSequence;
    private long appendedSequence;
    private boolean urgent;
    private long nextSendMillis;
    private long nextUrgentMillis;
    private long resendMillis;

    private LogWriter() {}

    /** Returns a writer without records. */
    public static LogWriter empty() {
        return new LogWriter();
    }

    /** Returns true while a batch has not been read back. */
    boolean isInFlight() {
        return !inFlight.isEmpty();
    }

    /** Queues a record. */
    public void add(LedgerRecord record) {
        queue.add(record);
        urgent = urgent || isUrgent(record);
    }

    /** Returns true if no record waits to be appended or read back. */
    public boolean isIdle() {
        return queue.isEmpty() && inFlight.isEmpty();
    }

    /**
     * Returns the batch that is to be sent now, if one is.
     *
     * @param nowMillis the time of the tick, in milliseconds
     * @param head gives what a new batch begins with
     */
    public Optional<List<Numbered>> takeDue(
            long nowMillis, KeeperLimits limits, Supplier<Optional<LedgerRecord>> head) {
        if (inFlight.isEmpty() && !queue.isEmpty() && nowMillis >= sendMillis()) {
            head.get().ifPresent(this::number);
            coalesce(takeQueued(limits.mostRecords())).forEach(this::number);
            urgent = !queue.isEmpty() && urgent;
            nextSendMillis = nowMillis + limits.appendIntervalMillis();
            nextUrgentMillis = nowMillis + limits.urgentIntervalMillis();
            return send(nowMillis, limits);
        }
        return isUnanswered() && nowMillis >= resendMillis
                ? send(nowMillis, limits)
                : Optional.empty();
    }

    /** Returns when {@link #takeDue} is to be asked next, in milliseconds, if ever. */
    public OptionalLong dueMillis() {
        if (isUnanswered()) {
            return OptionalLong.of(resendMillis);
        }
        return inFlight.isEmpty() && !queue.isEmpty()
                ? OptionalLong.of(sendMillis())
                : OptionalLong.empty();
    }

    /** Notes that the log answered the batch that ends with the given number. */
    public void appended(long sequence) {
        appendedSequence = Math.max(appendedSequence, sequence);
    }

    /** Notes that the record with the given number was read back. */
    public void readBack(long sequence) {
        inFlight.removeIf(mine -> mine.sequence() == sequence);
    }

    /** Returns the records in flight up to the given number. */
    public List<Numbered> inFlightUpTo(long sequence) {
        return inFlight.stream().filter(mine -> mine.sequence() <= sequence).toList();
    }

    /** Returns the records with all usage of one grant in one record. */
    static List<LedgerRecord> coalesce(List<LedgerRecord> records) {
        Map<Object, LedgerRecord> merged = new LinkedHashMap<>();
        records.forEach(record -> merged.merge(identity(record), record, LogWriter::join));
        return List.copyOf(merged.values());
    }

    private Optional<List<Numbered>> send(long nowMillis, KeeperLimits limits) {
        resendMillis = nowMillis + limits.appendRetryMillis();
        return Optional.of(List.copyOf(inFlight));
    }

    private long sendMillis() {
        return urgent ? nextUrgentMillis : nextSendMillis;
    }

    private boolean isUnanswered() {
        return !inFlight.isEmpty()
                && appendedSequence < inFlight.get(inFlight.size() - 1).sequence();
    }

    private List<LedgerRecord> takeQueued(int most) {
        List<LedgerRecord> taken = new ArrayList<>();
        int weight = 0;
        while (weight < most && !queue.isEmpty()) {
            LedgerRecord record = queue.remove();
            weight += record instanceof SnapshotPart ? SNAPSHOT_PART_WEIGHT : 1;
            taken.add(record);
        }
        return taken;
    }

    private void number(LedgerRecord record) {
        lastSequence++;
        inFlight.add(new Numbered(lastSequence, record));
    }

    private static Object identity(LedgerRecord record) {
        if (record instanceof UsageReported usage) {
            return GrantKey.of(usage.budget(), usage.holder());
        }
        return record instanceof UsageSummed sum
                ? List.of(sum.budget(), sum.holder())
                : new Object();
    }

    private static LedgerRecord join(LedgerRecord first, LedgerRecord second) {
        return first instanceof UsageSummed sum
                ? new UsageSummed(
                        sum.budget(), sum.holder(), sum.tokens() + ((UsageSummed) second).tokens())
                : join((UsageReported) first, (UsageReported) second);
    }

    private static LedgerRecord join(UsageReported first, UsageReported second) {
        List<Usage> usages = new ArrayList<>(first.usages());
        usages.addAll(second.usages());
        return new UsageReported(first.budget(), first.holder(), usages);
    }

    private static boolean isUrgent(LedgerRecord record) {
        boolean awaited = record instanceof GrantAsked asked && asked.neededTokens() > 0;
        return awaited
                || record instanceof GrantReturned
                || record instanceof HolderSucceeded
                || record instanceof IntentDeclared;
    }
}
